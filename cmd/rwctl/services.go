package main

import (
	"context"
	"strconv"
	"time"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// showServices lists the services that are in force on the first instance that
// responds.
func (c *command) showServices(ctx context.Context) error {
	responses, err := c.listServices(ctx)
	if err != nil {
		return err
	}
	view, err := firstResponse(responses)
	if err != nil {
		return withUnreachableStatus(err)
	}
	if c.settings.json {
		data, err := marshalProtoJSON(view)
		if err != nil {
			return err
		}
		return c.printJSON(data)
	}
	return c.servicesTable(view.GetServices())
}

func (c *command) servicesTable(services []*operatorv1.ServiceStatus) error {
	var rows [][]string
	for _, s := range services {
		rows = append(rows, []string{
			s.GetTeam() + "/" + s.GetService(), strconv.FormatUint(s.GetRevision(), 10), s.GetAuthor(),
			time.UnixMilli(s.GetUnixMs()).UTC().Format(time.RFC3339), s.GetApplyId(),
		})
	}
	return c.table([]string{"SERVICE", "REVISION", "AUTHOR", "APPLIED", "APPLY ID"}, rows)
}
