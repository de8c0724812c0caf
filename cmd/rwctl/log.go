package main

import (
	"net/http"

	"redwingvale/internal/platform"
	"redwingvale/internal/platform/rest"
)

// openLog returns the adapter of the log service at a base URL.
func openLog(baseURL string, client *http.Client) (platform.Log, error) {
	return rest.NewLog(baseURL, client), nil
}
