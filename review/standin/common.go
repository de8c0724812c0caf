package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

type bodyKey struct{}

func withBody(ctx context.Context, body []byte) context.Context {
	return context.WithValue(ctx, bodyKey{}, body)
}

func bodyOf(r *http.Request) []byte { return r.Context().Value(bodyKey{}).([]byte) }

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if value != nil {
		json.NewEncoder(w).Encode(value)
	}
}

// check ends the case with exit code 2: it could not run.
func check(err error) {
	if err != nil {
		couldNotRun(err.Error())
	}
}

func couldNotRun(reason string) {
	note("the case could not run: %s", reason)
	if theRig != nil {
		theRig.close()
	}
	os.Exit(2)
}

// The record of the case: what was sent, answered and run.
var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
)

// note adds a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	if recordFile != nil {
		recordFile.WriteString(line)
	}
}

// say adds a line to the record and prints it.
func say(format string, args ...any) {
	note(format, args...)
	fmt.Printf("%8.3f ", time.Since(began).Seconds())
	fmt.Printf(format+"\n", args...)
}

func sleepMS(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }
