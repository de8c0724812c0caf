package standin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"redwingvale/internal/platform"
	"redwingvale/internal/platform/rest"
	"redwingvale/internal/spec"
)

// maxReadWait is the longest time that a read may wait for a record.
const maxReadWait = 5 * time.Second

// Handler returns the HTTP interface of the stand-ins: the platform's own paths
// and, under /standin, paths to set faults and read counters.
func (p *Platform) Handler() http.Handler {
	server := echo.New()
	server.POST(rest.AppendPath, p.handleAppend)
	server.POST(rest.ReadPath, p.handleRead)
	server.POST(rest.StreamsPath, p.handleStreams)
	server.GET(rest.InstancesPath, p.handleInstances)
	server.POST(rest.WorkerPath, p.handleWorker)
	server.GET("/standin/v1/truth", p.handleCounters)
	server.PUT("/standin/v1/log/faults", p.handleLogFaults)
	server.PUT("/standin/v1/workers/:id/faults", p.handleWorkerFaults)
	server.PUT("/standin/v1/instances/:id", p.handleSetInstance)
	return server
}

func (p *Platform) handleAppend(c echo.Context) error {
	var request rest.AppendRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	log := p.Log.For(c.Request().Header.Get(rest.ClientHeader))
	err := log.Append(c.Request().Context(), request.Stream, request.Records)
	if err != nil {
		return unavailable(err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) handleRead(c echo.Context) error {
	var request rest.ReadRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, maxReadWait)
	log := p.Log.For(c.Request().Header.Get(rest.ClientHeader))
	result, err := log.Read(c.Request().Context(), request.Stream, request.From, request.Limit, wait)
	if err != nil {
		return unavailable(err)
	}
	return c.JSON(http.StatusOK, result)
}

func (p *Platform) handleStreams(c echo.Context) error {
	var request rest.StreamsRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	log := p.Log.For(c.Request().Header.Get(rest.ClientHeader))
	names, err := log.Streams(c.Request().Context(), request.Prefix)
	if err != nil {
		return unavailable(err)
	}
	return c.JSON(http.StatusOK, rest.StreamsResponse{Streams: names})
}

func (p *Platform) handleInstances(c echo.Context) error {
	entries, err := p.List.List(c.Request().Context())
	if err != nil {
		return unavailable(err)
	}
	tag := listTag(entries)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	c.Response().Header().Set("ETag", tag)
	return c.JSON(http.StatusOK, entries)
}

// listTag returns an entity tag that changes with each change of the list,
// because stamps are never reused.
func listTag(entries []platform.InstanceEntry) string {
	newest := uint64(0)
	for _, entry := range entries {
		newest = max(newest, entry.Stamp)
	}
	return fmt.Sprintf("%q", fmt.Sprintf("%d-%d", len(entries), newest))
}

func (p *Platform) handleWorker(c echo.Context) error {
	var batch platform.CommandBatch
	if err := c.Bind(&batch); err != nil {
		return err
	}
	report, err := p.Do(c.Request().Context(), spec.Worker{ID: batch.Worker}, batch)
	if err != nil {
		return unavailable(err)
	}
	return c.JSON(http.StatusOK, report)
}

func (p *Platform) handleCounters(c echo.Context) error {
	return c.JSON(http.StatusOK, p.Checker.Counters())
}

func (p *Platform) handleLogFaults(c echo.Context) error {
	var faults LogFaults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	p.Log.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) handleWorkerFaults(c echo.Context) error {
	var faults WorkerFaults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	if err := p.SetWorkerFaults(spec.WorkerID(c.Param("id")), faults); err != nil {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) handleSetInstance(c echo.Context) error {
	var entry platform.InstanceEntry
	if err := c.Bind(&entry); err != nil {
		return err
	}
	entry.ID = c.Param("id")
	p.List.Set(entry)
	return c.NoContent(http.StatusNoContent)
}

func unavailable(err error) error {
	return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
}
