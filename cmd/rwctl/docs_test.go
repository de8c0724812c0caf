package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

func mustMarshal(b *testEnvironment, apply *recordv1.Apply) []byte {
	data, err := proto.Marshal(envelopeOf(apply, 0))
	b.Assert(err, qt.IsNil)
	return data
}

// Guards against a reference page that does not match the program's commands,
// flags and exit codes.
func TestPageMatchesProgram(t *testing.T) {
	b := newTestEnvironment(t)
	text, err := os.ReadFile("../../docs/rwctl.md")
	b.Assert(err, qt.IsNil)
	page := string(text)
	for _, line := range []string{"validate", "plan", "apply", "status", "explain", "audit", "alarms", "drain", "evacuations", "members list", "members remove", "restore"} {
		b.Assert(b.run(append(strings.Fields(line), "-h")...), qt.Equals, exitOK)
		b.Check(page, qt.Contains, "\n### rwctl "+line+"\n")
		section := page[strings.Index(page, "### rwctl "+line+"\n"):]
		section, _, _ = strings.Cut(section[1:], "\n### ")
		for _, row := range strings.Split(b.err.String(), "\n") {
			name, _, isFlag := strings.Cut(strings.TrimPrefix(row, "  -"), " ")
			if !isFlag || !strings.HasPrefix(row, "  -") {
				continue
			}
			name, _, _ = strings.Cut(name, "=")
			common := strings.Contains("author config json log-url operators timeout", name)
			b.Check(common || strings.Contains(section, "`-"+name), qt.IsTrue, qt.Commentf("%s -%s", line, name))
		}
	}
	for _, exit := range []int{exitOK, exitFailed, exitUsage, exitInvalid, exitConflict, exitUnsure, exitNotInForce, exitUnreachable, exitFindings, exitNotFound} {
		b.Check(page, qt.Contains, fmt.Sprintf("\n| %d | ", exit))
	}
}

var argumentPattern = regexp.MustCompile(`"[^"]*"|\S+`)

// Guards against commands on the operations pages that rwctl cannot parse.
func TestOperationsPagesUseRealCommands(t *testing.T) {
	b := newTestEnvironment(t)
	pages, err := filepath.Glob("../../docs/operations/*.md")
	b.Assert(err, qt.IsNil)
	seen := 0
	for _, path := range pages {
		text, err := os.ReadFile(path)
		b.Assert(err, qt.IsNil)
		for _, line := range strings.Split(string(text), "\n") {
			if !strings.HasPrefix(line, "rwctl ") {
				continue
			}
			seen++
			args := argumentPattern.FindAllString(line, -1)[1:]
			b.Check(rootCommand(newEnvironment(&b.out, &b.err)).Parse(args), qt.IsNil, qt.Commentf("%s: %s", path, line))
		}
	}
	b.Assert(seen > 20, qt.IsTrue)
}
