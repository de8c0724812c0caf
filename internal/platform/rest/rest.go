// Package rest reaches the platform over HTTP with JSON bodies. It is the one
// place that changes when the platform's real interfaces are known.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

// Paths of the platform's interface.
const (
	AppendPath    = "/log/v1/append"
	ReadPath      = "/log/v1/read"
	StreamsPath   = "/log/v1/streams"
	InstancesPath = "/instances/v1/list"
	WorkerPath    = "/worker/v1/do"
)

// ClientHeader names the calling instance.
const ClientHeader = "Platform-Client"

// maxResponseBytes bounds what is read of one answer.
const maxResponseBytes = 32 << 20

// maxErrorBytes bounds how much of an error body is kept.
const maxErrorBytes = 512

// AppendRequest is the body of a call to AppendPath.
type AppendRequest struct {
	Stream  platform.Stream `json:"stream"`
	Records [][]byte        `json:"records"`
}

// ReadRequest is the body of a call to ReadPath.
type ReadRequest struct {
	Stream platform.Stream `json:"stream"`
	From   int64           `json:"from"`
	Limit  int             `json:"limit"`
	WaitMS int64           `json:"wait_ms"`
}

// StreamsRequest is the body of a call to StreamsPath.
type StreamsRequest struct {
	Prefix string `json:"prefix"`
}

// StreamsResponse is the answer of StreamsPath.
type StreamsResponse struct {
	Streams []platform.Stream `json:"streams"`
}

// Client calls the platform under a client name.
type Client struct {
	baseURL string
	name    string
	http    *http.Client
	list    *listCache
}

// listCache holds the last instance list with its entity tag, so that an
// unchanged list is neither sent nor decoded again.
type listCache struct {
	mu      sync.Mutex
	tag     string
	entries []platform.InstanceEntry
}

// NewClient returns a client for the platform at baseURL, such as
// http://127.0.0.1:7400. The name tells the platform who calls.
func NewClient(baseURL, name string, client *http.Client) *Client {
	return &Client{baseURL: baseURL, name: name, http: client, list: &listCache{}}
}

// NewLog returns the log service at baseURL.
func NewLog(baseURL string, client *http.Client) platform.Log {
	return NewClient(baseURL, "", client)
}

// Append implements platform.Log.
func (c *Client) Append(ctx context.Context, stream platform.Stream, records [][]byte) error {
	return c.call(ctx, http.MethodPost, AppendPath, AppendRequest{Stream: stream, Records: records}, nil)
}

// Read implements platform.Log.
func (c *Client) Read(ctx context.Context, stream platform.Stream, from int64, limit int, wait time.Duration) (platform.ReadResult, error) {
	request := ReadRequest{Stream: stream, From: from, Limit: limit, WaitMS: wait.Milliseconds()}
	var result platform.ReadResult
	err := c.call(ctx, http.MethodPost, ReadPath, request, &result)
	return result, err
}

// Streams implements platform.Log.
func (c *Client) Streams(ctx context.Context, prefix string) ([]platform.Stream, error) {
	var response StreamsResponse
	err := c.call(ctx, http.MethodPost, StreamsPath, StreamsRequest{Prefix: prefix}, &response)
	return response.Streams, err
}

// List implements platform.InstanceList. It asks with the entity tag of the
// last list (RFC 9110, If-None-Match).
func (c *Client) List(ctx context.Context) ([]platform.InstanceEntry, error) {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	call, err := c.request(ctx, http.MethodGet, InstancesPath, nil)
	if err != nil {
		return nil, err
	}
	if c.list.tag != "" {
		call.Header.Set("If-None-Match", c.list.tag)
	}
	answer, err := c.http.Do(call)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", InstancesPath)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusNotModified {
		return c.list.entries, nil
	}
	var entries []platform.InstanceEntry
	if err := decode(answer, InstancesPath, &entries); err != nil {
		return nil, err
	}
	c.list.tag = answer.Header.Get("ETag")
	c.list.entries = entries
	return entries, nil
}

// Do implements platform.Workers. The call goes to the worker's own control
// address.
func (c *Client) Do(ctx context.Context, worker spec.Worker, batch platform.CommandBatch) (platform.WorkerReport, error) {
	at := *c
	at.baseURL = "http://" + worker.ControlAddr
	var report platform.WorkerReport
	err := at.call(ctx, http.MethodPost, WorkerPath, batch, &report)
	return report, err
}

func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	call, err := c.request(ctx, method, path, request)
	if err != nil {
		return err
	}
	answer, err := c.http.Do(call)
	if err != nil {
		return errors.Wrapf(err, "call %s", path)
	}
	defer func() { _ = answer.Body.Close() }()
	return decode(answer, path, response)
}

// request builds a call with a JSON body.
func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode request to %s", path)
	}
	call, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrapf(err, "build request to %s", path)
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set(ClientHeader, c.name)
	return call, nil
}

func decode(answer *http.Response, path string, response any) error {
	limited := io.LimitReader(answer.Body, maxResponseBytes)
	if answer.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(limited, maxErrorBytes))
		return errors.Newf("%s answered %d: %s", path, answer.StatusCode, text)
	}
	if response == nil {
		_, err := io.Copy(io.Discard, limited)
		return err
	}
	if err := json.NewDecoder(limited).Decode(response); err != nil {
		return errors.Wrapf(err, "decode the answer of %s", path)
	}
	return nil
}
