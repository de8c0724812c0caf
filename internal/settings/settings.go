// Package settings reads TOML settings files and checks them whole before a
// program starts. A wrong file yields every problem at once, each with the
// file, the line, the key, the value and what would be right.
package settings

import (
	"fmt"
	"net"
	"os"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"redwingvale/internal/code"
)

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 1 << 20

// Checker is implemented by settings that have rules for their values.
type Checker interface {
	// Check reports each wrong value to the problems.
	Check(problems *Problems)
}

// Problem is one wrong place in a settings file.
type Problem struct {
	Line  int
	Key   string
	Value string
	Want  string
}

// Problems collects what is wrong in one file.
type Problems struct {
	file  string
	lines map[string]int
	found []Problem
}

// Add reports that the value of a key is wrong and what would be right. The
// key is dotted, for example "log.delay_ms".
func (p *Problems) Add(key string, value any, want string) {
	p.found = append(p.found, Problem{
		Line:  p.lines[key],
		Key:   key,
		Value: fmt.Sprint(value),
		Want:  want,
	})
}

// Address reports a value that is not an IP address with a port.
func (p *Problems) Address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		p.Add(key, value, `an IP address and a port, such as "127.0.0.1:7100"`)
	}
}

// Range reports a number outside low to high.
func (p *Problems) Range(key string, value, low, high int64) {
	if value < low || value > high {
		p.Add(key, value, fmt.Sprintf("a number from %d to %d", low, high))
	}
}

// Required reports an empty string.
func (p *Problems) Required(key, value string) {
	if strings.TrimSpace(value) == "" {
		p.Add(key, `""`, "a value that is not empty")
	}
}

// Err returns the problems as one error with code.BadSettings, or nil.
func (p *Problems) Err() error {
	if len(p.found) == 0 {
		return nil
	}
	lines := make([]string, 0, len(p.found))
	for _, f := range p.found {
		lines = append(lines, fmt.Sprintf("%s:%d: %s = %s: want %s", p.file, f.Line, f.Key, f.Value, f.Want))
	}
	return code.New(code.BadSettings, "%s", strings.Join(lines, "\n"))
}

// Load reads the file at path into the struct that into points to, refuses
// unknown keys, and runs its Check when it has one. Values that the file does
// not name keep what into held before.
func Load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if len(data) > maxFileBytes {
		return code.New(code.BadSettings, "%s: larger than %d bytes", path, maxFileBytes)
	}
	return Parse(path, data, into)
}

// Parse does what Load does with the file's content.
func Parse(file string, data []byte, into any) error {
	problems := &Problems{file: file, lines: keyLines(data)}
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(problems, err, into)
	}
	if checker, ok := into.(Checker); ok {
		checker.Check(problems)
	}
	return problems.Err()
}

func decodeError(problems *Problems, err error, into any) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		known := strings.Join(KnownKeys(into), ", ")
		for _, e := range strict.Errors {
			problems.Add(strings.Join(e.Key(), "."), "(unknown key)", "one of "+known)
		}
		return problems.Err()
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		key := strings.Join(wrong.Key(), ".")
		text := fmt.Sprintf("%s:%d: %s: %s", problems.file, line, key, wrong.Error())
		return code.New(code.BadSettings, "%s", text)
	}
	return code.New(code.BadSettings, "%s: %s", problems.file, err)
}

// KnownKeys lists the dotted keys that a settings struct has.
func KnownKeys(into any) []string {
	kind := reflect.TypeOf(into)
	for kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	return structKeys(kind, "")
}

func structKeys(kind reflect.Type, prefix string) []string {
	var keys []string
	for i := range kind.NumField() {
		field := kind.Field(i)
		if field.Anonymous {
			keys = append(keys, structKeys(field.Type, prefix)...)
			continue
		}
		name := field.Tag.Get("toml")
		if name == "" || name == "-" {
			continue
		}
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, structKeys(field.Type, prefix+name+".")...)
			continue
		}
		keys = append(keys, prefix+name)
	}
	return keys
}

// keyLines returns the line of each dotted key in the document.
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	parser := unstable.Parser{}
	parser.Reset(data)
	var table []string
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = keyParts(expression.Key())
		case unstable.KeyValue:
			parts := append(append([]string(nil), table...), keyParts(expression.Key())...)
			lines[strings.Join(parts, ".")] = keyLine(&parser, expression)
		}
	}
	return lines
}

func keyLine(parser *unstable.Parser, expression *unstable.Node) int {
	key := expression.Key()
	if !key.Next() {
		return 0
	}
	return parser.Shape(key.Node().Raw).Start.Line
}

func keyParts(it unstable.Iterator) []string {
	var parts []string
	for it.Next() {
		parts = append(parts, string(it.Node().Data))
	}
	return parts
}
