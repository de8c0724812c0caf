package main

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/gen/redwingvale/node/v1/nodev1connect"
)

// fakeNode answers ListEvacuations.
type fakeNode struct {
	nodev1connect.UnimplementedNodeServiceHandler
	response *nodev1.ListEvacuationsResponse
}

func (n *fakeNode) ListEvacuations(context.Context, *connect.Request[nodev1.ListEvacuationsRequest]) (*connect.Response[nodev1.ListEvacuationsResponse], error) {
	if n.response == nil {
		// An instance of an earlier release.
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	return connect.NewResponse(n.response), nil
}

func startNode(b *testEnvironment, response *nodev1.ListEvacuationsResponse) string {
	_, handler := nodev1connect.NewNodeServiceHandler(&fakeNode{response: response})
	server := httptest.NewServer(handler)
	b.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a list that hides an instance at which an evacuation is not in
// force, and against a success while no instance has answered.
func TestEvacuations(t *testing.T) {
	b := newTestEnvironment(t)
	leader := startNode(b, &nodev1.ListEvacuationsResponse{
		Instance: "n1", Enabled: true, Leading: true, RecordsRead: true, ReadAgeMs: 120,
		Evacuations: []*nodev1.EvacuationStatus{{DataCentre: "z1", SinceUnixMs: 1_700_000_000_000, InForceMs: 2500, Workers: 8, LongRunning: 3, Checkpointed: 5, Other: 7, Moved: 11}},
	})
	late := startNode(b, &nodev1.ListEvacuationsResponse{Instance: "n2", Enabled: true})
	off := startNode(b, &nodev1.ListEvacuationsResponse{Instance: "n3", RecordsRead: true})
	old := startNode(b, nil)
	all := strings.Join([]string{leader, late, off, old}, ",")
	b.Assert(b.run("evacuations", "-operators", all), qt.Equals, exitOK, qt.Commentf("%s", &b.err))
	rows := map[string]string{}
	for _, row := range strings.Split(b.out.String(), "\n") {
		name, rest, _ := strings.Cut(row, " ")
		rows[name] = strings.Join(strings.Fields(rest), " ")
	}
	b.Assert(rows[leader], qt.Equals, "n1 yes 120ms ago z1 2023-11-14T22:13:20Z 2.5s")
	b.Assert(rows[late], qt.Equals, "n2 no not since its start none - -")
	b.Assert(rows[off], qt.Equals, "n3 no 0s ago off - -")
	b.Assert(rows[old], qt.Contains, "no answer")
	b.Assert(rows["z1"], qt.Equals, "8 3 0 5 7 11")

	b.Assert(b.run("evacuations", "-operators", all, "-json"), qt.Equals, exitOK)
	var out []struct {
		Address, Error string
		Status         map[string]any
	}
	b.Assert(json.Unmarshal(b.out.Bytes(), &out), qt.IsNil)
	b.Assert(out, qt.HasLen, 4)
	b.Assert(out[0].Status["evacuations"].([]any)[0].(map[string]any)["moved"], qt.Equals, float64(11))
	b.Assert(out[3].Error, qt.Not(qt.Equals), "")

	b.Assert(b.run("evacuations", "-operators", "127.0.0.1:1"), qt.Equals, exitUnreachable)
	b.Assert(b.run("evacuations"), qt.Equals, exitUsage)
	b.Assert(b.run("evacuations", "-operators", leader, "z1"), qt.Equals, exitUsage)
}
