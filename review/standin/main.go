// Command standin plays one case of the review: it starts rwnode processes with
// the command of the deploy file against stand-ins of the store, the workers and
// the adviser, plays clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseLimit bounds the length of a case.
const caseLimit = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE ROOT FOLDER")
		os.Exit(2)
	}
	var err error
	recordFile, err = os.Create(filepath.Join(os.Args[3], "record.txt"))
	check(err)
	play := cases[os.Args[1]]
	if play == nil {
		couldNotRun("no such case: " + os.Args[1])
	}
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, with the disruption: %v", os.Args[1], trouble)
	r := newRig(os.Args[2])
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-ended:
			couldNotRun("ended by a signal")
		case <-time.After(caseLimit):
			couldNotRun("longer than " + caseLimit.String())
		}
	}()
	play(r, trouble)
	r.close()
	for _, n := range r.nodes {
		if n.exits > 0 {
			say("%s ended by itself %d times", n.name, n.exits)
		}
	}
	say("broken %d times", r.broken())
	if r.broken() > 0 {
		os.Exit(1)
	}
}

// cases holds the cases by name.
var cases = map[string]func(r *rig, trouble bool){
	"ends":    ends,
	"advice":  advice,
	"token":   token,
	"suspect": suspect,
	"pending": pending,
}
