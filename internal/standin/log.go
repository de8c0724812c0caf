package standin

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/delay"
	"redwingvale/internal/platform"
)

// ErrUnavailable is returned while a client cannot reach the log.
var ErrUnavailable = errors.New("log service unavailable")

// LogFaults are the faults of the log stand-in.
type LogFaults struct {
	// Down makes every call fail.
	Down bool `json:"down" toml:"down"`
	// DelayMS delays every call.
	DelayMS int `json:"delay_ms" toml:"delay_ms"`
	// LostAnswerPercent is the share of appends that take effect but return an
	// error.
	LostAnswerPercent int `json:"lost_answer_percent" toml:"lost_answer_percent"`
	// HiddenFrom lists the clients that cannot reach the log.
	HiddenFrom []string `json:"hidden_from" toml:"hidden_from"`
}

type logStream struct {
	first   int64
	records [][]byte
	written []time.Time
}

// Log is an in-memory append-only log with offsets, retention and faults.
// Each client accesses it through For, which applies the client's faults.
type Log struct {
	mu        sync.Mutex
	streams   map[platform.Stream]*logStream
	changed   chan struct{}
	faults    LogFaults
	random    *rand.Rand
	retention time.Duration
	appends   int64
	bytes     int64
}

// NewLog returns an empty log that keeps records for the retention.
func NewLog(seed uint64, retention time.Duration) *Log {
	return &Log{
		streams:   make(map[platform.Stream]*logStream),
		changed:   make(chan struct{}),
		random:    rand.New(rand.NewPCG(seed, seed)),
		retention: retention,
	}
}

// SetFaults replaces the faults and makes waiting reads check again.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	l.wakeReaders()
}

// Counters returns the number of appends and of bytes appended so far.
func (l *Log) Counters() (appends, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// For returns the log for the named client, subject to the client's faults.
func (l *Log) For(client string) platform.Log {
	return &logClient{log: l, client: client}
}

func (l *Log) wakeReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// expire drops records that are older than the retention.
func (l *Log) expire(s *logStream, now time.Time) {
	drop := 0
	for drop < len(s.written) && now.Sub(s.written[drop]) > l.retention {
		drop++
	}
	s.first += int64(drop)
	s.records = s.records[drop:]
	s.written = s.written[drop:]
}

func (l *Log) stream(name platform.Stream) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{}
		l.streams[name] = s
	}
	return s
}

type logClient struct {
	log    *Log
	client string
}

// applyFaults delays or fails a call according to the faults, and reports
// whether the response of the call is to be lost.
func (c *logClient) applyFaults(ctx context.Context) (lostAnswer bool, err error) {
	c.log.mu.Lock()
	faults := c.log.faults
	lostAnswer = c.log.random.IntN(100) < faults.LostAnswerPercent
	c.log.mu.Unlock()
	if faults.DelayMS > 0 {
		if err := delay.Wait(ctx, time.Duration(faults.DelayMS)*time.Millisecond); err != nil {
			return false, err
		}
	}
	if c.unreachable(faults) {
		return false, ErrUnavailable
	}
	return lostAnswer, nil
}

func (c *logClient) unreachable(faults LogFaults) bool {
	if faults.Down {
		return true
	}
	for _, hidden := range faults.HiddenFrom {
		if hidden == c.client {
			return true
		}
	}
	return false
}

// Append implements platform.Log.
func (c *logClient) Append(ctx context.Context, stream platform.Stream, records [][]byte) error {
	lostAnswer, err := c.applyFaults(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	c.log.mu.Lock()
	s := c.log.stream(stream)
	c.log.expire(s, now)
	for _, data := range records {
		s.records = append(s.records, append([]byte(nil), data...))
		s.written = append(s.written, now)
		c.log.bytes += int64(len(data))
	}
	c.log.appends++
	c.log.wakeReaders()
	c.log.mu.Unlock()
	if lostAnswer {
		return errors.New("connection reset after the append")
	}
	return nil
}

// Read implements platform.Log.
func (c *logClient) Read(ctx context.Context, stream platform.Stream, from int64, limit int, wait time.Duration) (platform.ReadResult, error) {
	if _, err := c.applyFaults(ctx); err != nil {
		return platform.ReadResult{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, changed, err := c.readOnce(stream, from, limit)
		if err != nil || len(result.Records) > 0 || wait <= 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-timer.C:
			result, _, err = c.readOnce(stream, from, limit)
			return result, err
		case <-ctx.Done():
			return platform.ReadResult{}, ctx.Err()
		}
	}
}

func (c *logClient) readOnce(name platform.Stream, from int64, limit int) (platform.ReadResult, <-chan struct{}, error) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	if c.unreachable(c.log.faults) {
		return platform.ReadResult{}, nil, ErrUnavailable
	}
	s := c.log.stream(name)
	c.log.expire(s, time.Now())
	start := max(from, s.first)
	end := s.first + int64(len(s.records))
	result := platform.ReadResult{First: s.first}
	for offset := start; offset < end && len(result.Records) < limit; offset++ {
		record := platform.LogRecord{Offset: offset, Data: s.records[offset-s.first]}
		result.Records = append(result.Records, record)
	}
	result.Next = max(start, s.first) + int64(len(result.Records))
	result.AtTail = result.Next >= end
	return result, c.log.changed, nil
}

// Streams implements platform.Log.
func (c *logClient) Streams(ctx context.Context, prefix string) ([]platform.Stream, error) {
	if _, err := c.applyFaults(ctx); err != nil {
		return nil, err
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	var out []platform.Stream
	for name := range c.log.streams {
		if strings.HasPrefix(string(name), prefix) {
			out = append(out, name)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}
