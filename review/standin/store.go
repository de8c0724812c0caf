package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeMode is how the store treats the calls that arrive on one door.
type storeMode int

const (
	storeServes storeMode = iota
	// storeSilent: no response; nothing is done.
	storeSilent
	// storeBusy: 503; nothing is done.
	storeBusy
	// storeReset: the connection is reset; nothing is done.
	storeReset
)

// store is the platform's log: the topics, appends, reads and newest records
// that PROTOCOL.md describes. It loses nothing and has no size limits.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records   [][]byte // key length, key, value
	newest    map[string]int64
	producers map[string]*producer
	queue     sync.Mutex
}

type producer struct {
	epoch, sequence uint64
	last            []appendAnswer
}

type appendAnswer struct {
	sequence    uint64
	offset, end int64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

// topic returns a topic. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(raws [][]byte) (offset int64) {
	offset = int64(len(t.records))
	for _, raw := range raws {
		key := string(raw[1 : 1+raw[0]])
		if len(raw) == 1+int(raw[0]) {
			delete(t.newest, key)
		} else {
			t.newest[key] = int64(len(t.records))
		}
		t.records = append(t.records, raw)
	}
	return offset
}

// put writes a record as the operator or a worker does; nil deletes the key.
func (s *store) put(name, key string, value any) {
	raw := append([]byte{byte(len(key))}, key...)
	if value != nil {
		encoded, _ := json.Marshal(value)
		raw = append(raw, encoded...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([][]byte{raw})
	close(s.changed)
	s.changed = make(chan struct{})
}

// door is an address of the store. Each node has its own, so that the store can
// turn one of them away.
type door struct {
	store *store
	mu    sync.Mutex
	mode  storeMode
	addr  string
}

func (s *store) open() *door {
	d := &door{store: s}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", d.guard(s.append))
	mux.HandleFunc("GET /api/log-read", d.guard(s.read))
	mux.HandleFunc("GET /api/log-newest", d.guard(s.newestPage))
	go http.Serve(l, mux)
	return d
}

func (d *door) set(m storeMode) {
	d.mu.Lock()
	d.mode = m
	d.mu.Unlock()
}

func (d *door) guard(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		d.mu.Lock()
		mode := d.mode
		d.mu.Unlock()
		switch mode {
		case storeSilent:
			<-r.Context().Done()
			return
		case storeBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case storeReset:
			panic(http.ErrAbortHandler)
		}
		r = r.WithContext(withBody(r.Context(), body))
		serve(w, r)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var raws [][]byte
	for body := bodyOf(r); len(body) > 0; {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		raws = append(raws, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	s.mu.Unlock()
	// A partition processes its appends one at a time, 2 ms each.
	t.queue.Lock()
	time.Sleep(2 * time.Millisecond)
	status, answer := s.appendNow(t, q.Get("at"), q.Get("producer"), q.Get("epoch"), q.Get("sequence"), raws)
	t.queue.Unlock()
	writeJSON(w, status, answer)
}

func (s *store) appendNow(t *topic, at, name, epochText, sequenceText string, raws [][]byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	if at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]any{"endOffset": end}
	}
	var p *producer
	epoch, _ := strconv.ParseUint(epochText, 10, 64)
	sequence, _ := strconv.ParseUint(sequenceText, 10, 64)
	if name != "" {
		if p = t.producers[name]; p == nil {
			p = &producer{}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		for _, a := range p.last {
			if a.sequence == sequence {
				return http.StatusOK, map[string]any{"offset": a.offset, "endOffset": a.end}
			}
		}
		if epoch == p.epoch && sequence != p.sequence+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1}
		}
	}
	offset := t.add(raws)
	end = int64(len(t.records))
	if p != nil {
		p.epoch, p.sequence = epoch, sequence
		p.last = append(p.last, appendAnswer{sequence, offset, end})
		if len(p.last) > 5 {
			p.last = p.last[1:]
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, map[string]any{"offset": offset, "endOffset": end}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("fromRev"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	maxKB, _ := strconv.ParseInt(q.Get("maxKb"), 10, 64)
	if maxKB <= 0 {
		maxKB = 1024
	}
	over := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		found := false
		for i := from; i < int64(len(t.records)) && int64(len(out)) < maxKB<<10; i++ {
			found = true
			out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
			out = append(out, t.records[i]...)
		}
		changed := s.changed
		s.mu.Unlock()
		if found || !waiting {
			w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestPage(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []item{}
	for _, key := range keys {
		raw := t.records[t.newest[key]]
		items = append(items, item{key, raw[1+int(raw[0]):], t.newest[key]})
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}
