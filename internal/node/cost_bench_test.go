package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/gen/redwingvale/node/v1/nodev1connect"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

var benchTask = jobs.Task{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}

// servePeer runs the event loop and the peer interface of an instance and returns
// a client of it.
func servePeer(b *testing.B) nodev1connect.NodeServiceClient {
	b.Helper()
	tele := telemetry.New("rwnode", "a", io.Discard)
	n := New(DefaultConfig(), Deps{}, tele)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.loop(ctx) }()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: n.PeerHandler()}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() {
		server.Close()
		stop()
		<-done
		tele.Close()
	})
	return n.peerClient(listener.Addr().String())
}

// BenchmarkDecisionLine measures the log line of a start or an end.
func BenchmarkDecisionLine(b *testing.B) {
	tele := telemetry.New("rwnode", "edge-kago-a-1", io.Discard)
	defer tele.Close()
	n := New(DefaultConfig(), Deps{}, tele)
	t := &term{epoch: 3}
	d := planner.Decision{Event: "start_sent", Job: benchTask.Job, Task: benchTask.String(), Run: 1, Worker: "i-00f24dd0", Reason: "placed", AgeMS: 412}
	b.ReportAllocs()
	for b.Loop() {
		n.logDecision(t, d)
	}
}

// BenchmarkStartToDelegate measures the encoding of a start call at the leader.
func BenchmarkStartToDelegate(b *testing.B) {
	start := planner.Start{Worker: "i-00f24dd0", Address: "10.1.0.13:8161", Token: 3 << 20, Task: benchTask, Run: 1, Payload: string(make([]byte, 150)), LeaseEndMS: 1 << 40}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := proto.Marshal(encodeCall(1, start, 0)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLookThroughLeader measures one look at a job's state that another
// instance passes on to the leader, both sides and the connection between them.
func BenchmarkLookThroughLeader(b *testing.B) {
	client := servePeer(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.GetJob(context.Background(), connect.NewRequest(&nodev1.GetJobRequest{Id: "j"})); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkBatchToDelegate measures a batch of calls from the leader to a
// delegate, both sides and the connection between them, without the calls.
func BenchmarkBatchToDelegate(b *testing.B) {
	for _, calls := range []int{1, 32} {
		b.Run(fmt.Sprint(calls), func(b *testing.B) {
			client := servePeer(b)
			request := &nodev1.CallWorkersRequest{Epoch: 1}
			for range calls {
				request.Calls = append(request.Calls, encodeCall(1, planner.Hold{Worker: "i-00f24dd0", Address: "10.1.0.13:8161", Token: 3 << 20, AckNumber: 9, LeaseEndMS: 1 << 40, WaitMS: 1000}, 7))
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.CallWorkers(context.Background(), connect.NewRequest(request)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
