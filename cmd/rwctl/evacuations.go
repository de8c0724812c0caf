package main

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/gen/redwingvale/node/v1/nodev1connect"
)

// evacuationsCommand shows the evacuations of data centres.
func evacuationsCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "evacuations")
	return c.build("", "show the data centres under evacuation", func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usageError("evacuations takes no argument")
		}
		responses, err := callEach(ctx, c, func(ctx context.Context, address string) (*nodev1.ListEvacuationsResponse, error) {
			client := nodev1connect.NewNodeServiceClient(c.client, baseURL(address))
			out, err := client.ListEvacuations(ctx, connect.NewRequest(&nodev1.ListEvacuationsRequest{}))
			return unwrapResponse(out, err)
		})
		if err != nil {
			return err
		}
		if c.settings.json {
			err = printResponses(c, responses)
		} else {
			err = c.showEvacuations(responses)
		}
		if err != nil {
			return err
		}
		if _, err := firstResponse(responses); err != nil {
			return exitWith(exitUnreachable)
		}
		return nil
	})
}

// showEvacuations prints a row for each instance and data centre, then what the
// leader knows.
func (c *command) showEvacuations(responses []instanceResponse[nodev1.ListEvacuationsResponse]) error {
	var rows, left [][]string
	for _, a := range responses {
		if a.err != nil {
			rows = append(rows, []string{a.address, "-", "-", "-", "no answer: " + a.err.Error(), "-", "-"})
			continue
		}
		m := a.value
		read := "not since its start"
		if m.GetRecordsRead() {
			read = millis(m.GetReadAgeMs()) + " ago"
		}
		if len(m.GetEvacuations()) == 0 {
			state := "none"
			if !m.GetEnabled() {
				state = "off"
			}
			rows = append(rows, []string{a.address, m.GetInstance(), yesNo(m.GetLeading()), read, state, "-", "-"})
		}
		for _, e := range m.GetEvacuations() {
			since := time.UnixMilli(e.GetSinceUnixMs()).UTC().Format(time.RFC3339)
			rows = append(rows, []string{a.address, m.GetInstance(), yesNo(m.GetLeading()), read, e.GetDataCentre(), since, millis(e.GetInForceMs())})
			if m.GetLeading() {
				left = append(left, []string{
					e.GetDataCentre(), count(e.GetWorkers()), count(e.GetLongRunning()), count(e.GetGang()),
					count(e.GetCheckpointed()), count(e.GetOther()), count(e.GetMoved()),
				})
			}
		}
	}
	if err := c.table([]string{"ADDRESS", "INSTANCE", "LEADS", "RECORDS READ", "DATA CENTRE", "SINCE", "IN FORCE FOR"}, rows); err != nil || len(left) == 0 {
		return err
	}
	c.line("\nLeft there, as the leader knows:")
	return c.table([]string{"DATA CENTRE", "WORKERS", "LONG-RUNNING", "GANG", "CHECKPOINTED", "OTHER", "MOVED"}, left)
}
