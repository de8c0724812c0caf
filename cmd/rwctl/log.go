package main

import (
	"net/http"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
)

// openLog returns the adapter of the log service at a base URL.
func openLog(string, *http.Client) (platform.Log, error) {
	return nil, code.New(code.LogUnavailable, "this build has no adapter to the log service")
}
