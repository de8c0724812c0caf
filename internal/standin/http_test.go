package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/platform"
	"redwingvale/internal/platform/rest"
	"redwingvale/internal/standin"
)

// Guards against a client that keeps a stale list after a change, or fetches an
// unchanged list again.
func TestListIsFetchedOnlyWhenItChanged(t *testing.T) {
	c := qt.New(t)
	config := standin.DefaultConfig()
	config.ListLagMS = 0
	config.Workers = 2
	standIn, err := standin.New(config)
	c.Assert(err, qt.IsNil)
	statuses := make(map[int]int)
	inner := standIn.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		recorder := httptest.NewRecorder()
		inner.ServeHTTP(recorder, in)
		statuses[recorder.Code]++
		out.Header().Set("ETag", recorder.Header().Get("ETag"))
		out.WriteHeader(recorder.Code)
		_, _ = out.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := rest.NewClient(server.URL, "e1", server.Client())
	for range 3 {
		entries, err := client.List(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 2)
	}
	c.Assert(statuses, qt.DeepEquals, map[int]int{http.StatusOK: 1, http.StatusNotModified: 2})
	c.Assert(standIn.SetWorkerState("w001", platform.InstanceLeaving), qt.IsNil)
	entries, err := client.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(entries[1].State, qt.Equals, platform.InstanceLeaving)
}
