//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// outcome of a case: the exit code of its script.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(c *cluster, trouble bool) int{
	"11": reservedWorkers,
	"13": gangBurst,
	"14": advisedGang,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER RWNODE")
		return failed
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	c, err := newCluster(r)
	if err != nil {
		r.line("cannot run: %v", err)
		return failed
	}
	defer c.close()
	binary = os.Args[3]
	code := cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	r.line("exit %d", code)
	return code
}

// binary is the rwnode program.
var binary string
