package main

import (
	"net/http"
	"net/url"

	"redwingvale/internal/platform"
	"redwingvale/internal/platform/rest"
)

// openLog returns the log service at a base URL.
func openLog(baseURL string, client *http.Client) (platform.Log, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, usageError("-log-url %q: use an address such as http://10.20.0.5:7000", baseURL)
	}
	return rest.NewLog(baseURL, client), nil
}
