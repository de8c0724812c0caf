package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"redwingvale/internal/delay"
)

// connectTimeLimit bounds one call to an instance. It is longer than the time
// limit that the instance itself applies.
const connectTimeLimit = 20 * time.Second

func newEnvironment(stdout, stderr io.Writer) *environment {
	start := time.Now()
	return &environment{
		stdout:  stdout,
		stderr:  stderr,
		client:  &http.Client{Timeout: connectTimeLimit},
		openLog: openLog,
		now:     func() time.Duration { return time.Since(start) },
		wall:    time.Now,
		pause:   func(ctx context.Context, d time.Duration) { _ = delay.Wait(ctx, d) },
		limit:   context.WithTimeout,
		newID:   func() string { return uuid.Must(uuid.NewV7()).String() },
	}
}
