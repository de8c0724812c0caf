package local_test

import (
	"context"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/local"
)

// Guards against instances that start but never become voters or owners of the
// worker groups.
func TestClusterBecomesReady(t *testing.T) {
	c := qt.New(t)
	options := local.DefaultOptions()
	if testing.Verbose() {
		options.Log = os.Stderr
	}
	cluster, err := local.Start(context.Background(), options)
	c.Assert(err, qt.IsNil)
	defer cluster.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.Assert(cluster.AwaitReady(ctx), qt.IsNil)
}
