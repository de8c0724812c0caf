// Package rest implements the platform's interfaces over HTTP with JSON bodies.
// It is the only place to change once the platform's real interfaces are known.
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

// Paths of the platform's HTTP interface.
const (
	AppendPath    = "/log/v1/append"
	ReadPath      = "/log/v1/read"
	StreamsPath   = "/log/v1/streams"
	InstancesPath = "/instances/v1/list"
	WorkerPath    = "/worker/v1/do"
)

// ClientHeader is the header that carries the name of the calling instance.
const ClientHeader = "Platform-Client"

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 32 << 20

// maxErrorBytes bounds the part of an error body that is kept.
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

// StreamsResponse is the response of StreamsPath.
type StreamsResponse struct {
	Streams []platform.Stream `json:"streams"`
}

// Client calls the platform and identifies itself by a client name.
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
	etag    string
	entries []platform.InstanceEntry
}

// NewClient returns a client for the platform at baseURL, such as
// http://127.0.0.1:7400. The name identifies the caller to the platform.
func NewClient(baseURL, name string, client *http.Client) *Client {
	return &Client{baseURL: baseURL, name: name, http: client, list: &listCache{}}
}

// NewLog returns a client of the log service at baseURL.
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

// List implements platform.InstanceList. It sends the entity tag of the last
// list (RFC 9110, If-None-Match).
func (c *Client) List(ctx context.Context) ([]platform.InstanceEntry, error) {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	httpRequest, err := c.request(ctx, http.MethodGet, InstancesPath, nil)
	if err != nil {
		return nil, err
	}
	if c.list.etag != "" {
		httpRequest.Header.Set("If-None-Match", c.list.etag)
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", InstancesPath)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if httpResponse.StatusCode == http.StatusNotModified {
		return c.list.entries, nil
	}
	var entries []platform.InstanceEntry
	if err := decodeResponse(httpResponse, InstancesPath, &entries); err != nil {
		return nil, err
	}
	c.list.etag = httpResponse.Header.Get("ETag")
	c.list.entries = entries
	return entries, nil
}

// Do implements platform.Workers. It calls the worker's own control address.
func (c *Client) Do(ctx context.Context, worker spec.Worker, batch platform.CommandBatch) (platform.WorkerReport, error) {
	workerClient := *c
	workerClient.baseURL = "http://" + worker.ControlAddr
	var report platform.WorkerReport
	err := workerClient.call(ctx, http.MethodPost, WorkerPath, batch, &report)
	return report, err
}

func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	httpRequest, err := c.request(ctx, method, path, request)
	if err != nil {
		return err
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return errors.Wrapf(err, "call %s", path)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	return decodeResponse(httpResponse, path, response)
}

// request builds an HTTP request with a JSON body.
func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode request to %s", path)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrapf(err, "build request to %s", path)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set(ClientHeader, c.name)
	return httpRequest, nil
}

func decodeResponse(httpResponse *http.Response, path string, response any) error {
	limited := io.LimitReader(httpResponse.Body, maxResponseBytes)
	if httpResponse.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(limited, maxErrorBytes))
		return errors.Newf("%s answered %d: %s", path, httpResponse.StatusCode, text)
	}
	if response == nil {
		_, err := io.Copy(io.Discard, limited)
		return err
	}
	if err := json.NewDecoder(limited).Decode(response); err != nil {
		return errors.Wrapf(err, "decode the response of %s", path)
	}
	return nil
}
