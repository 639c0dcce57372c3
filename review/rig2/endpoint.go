//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an endpoint began to work on.
type run struct {
	id, method, uri, caller string
	at                      time.Time
	// ended is when the response was ready; zero if the run was cut off.
	ended time.Time
}

// endpoint is one incarnation of an application endpoint.
type endpoint struct {
	ma *machine
	id string
	// born is the start by the clock of the machine, which may be wrong.
	born     time.Time
	version  string
	slots    int
	workTime time.Duration
	// coldUntil is the true time until which the endpoint is cold.
	coldUntil time.Time

	seq      atomic.Uint64
	draining atomic.Bool
	server   *http.Server
	stopBeat chan struct{}
	once     sync.Once

	mu      sync.Mutex
	runs    []*run
	running int
}

const heartbeatInterval = 500 * time.Millisecond

// startEndpoint starts an endpoint that is cold for the given time. clockError is the error
// of the machine's clock.
func (ma *machine) startEndpoint(
	id string, workTime, clockError, coldTime time.Duration,
) (*endpoint, error) {
	listener, err := net.Listen("tcp", ma.address(portEndpoint))
	if err != nil {
		return nil, err
	}
	en := &endpoint{
		ma: ma, id: id, born: time.Now().Add(clockError), version: "v1", slots: 18,
		workTime: workTime, stopBeat: make(chan struct{}), coldUntil: time.Now().Add(coldTime),
	}
	ma.de.endpoints = append(ma.de.endpoints, en)
	en.server = &http.Server{Handler: http.HandlerFunc(en.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = en.server.Serve(listener) }()
	go en.sendHeartbeats()
	ma.de.record.printf("endpoint %s on %s: started, born %d", id, ma.ip, en.born.UnixMilli())
	return en, nil
}

func (en *endpoint) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		en.heartbeat()
		select {
		case <-en.stopBeat:
			return
		case <-ticker.C:
		}
	}
}

// heartbeat sends a heartbeat and reports whether the node acknowledged it.
func (en *endpoint) heartbeat() bool {
	state := "ready"
	if en.draining.Load() {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"address": en.ma.address(portEndpoint), "born": en.born.UnixMilli(),
		"info": map[string]any{
			"service": en.ma.service, "version": en.version, "zone": en.ma.zone, "slots": en.slots,
		},
		"status": map[string]any{"state": state, "seq": en.seq.Add(1), "warmup_left": fmt.Sprintf("%dms", en.coldLeft())},
	})
	if err != nil {
		return false
	}
	return en.callNode(http.MethodPut, body)
}

// coldLeft returns the milliseconds for which the endpoint stays cold.
func (en *endpoint) coldLeft() int64 { return max(time.Until(en.coldUntil).Milliseconds(), 0) }

// leave sends the DELETE call and reports whether the node acknowledged it.
func (en *endpoint) leave() bool { return en.callNode(http.MethodDelete, nil) }

func (en *endpoint) callNode(method string, body []byte) bool {
	url := fmt.Sprintf("http://%s/api/instances/%s", en.ma.address(portControl), en.id)
	rq, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	rq.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := client.Do(rq)
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode/100 == 2
}

// stop ends the endpoint as a crash or an exit does: its connections are closed.
func (en *endpoint) stop() {
	en.once.Do(func() { close(en.stopBeat) })
	_ = en.server.Close()
}

func (en *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", en.id)
		header.Set("X-Cold-Ms", strconv.FormatInt(en.coldLeft(), 10))
		if en.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != en.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ru := &run{
		id: id, method: r.Method, uri: r.URL.RequestURI(), at: time.Now(),
		caller: r.Header.Get("X-Caller-Service"),
	}
	en.mu.Lock()
	if en.running >= en.slots {
		en.mu.Unlock()
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	en.running++
	en.runs = append(en.runs, ru)
	load := en.running
	en.mu.Unlock()
	defer func() {
		en.mu.Lock()
		en.running--
		en.mu.Unlock()
	}()
	select {
	case <-time.After(en.workTime):
	case <-r.Context().Done():
		return
	}
	en.mu.Lock()
	ru.ended = time.Now()
	en.mu.Unlock()
	text := answerBody(id, body)
	header.Set("X-Server-Stamp", en.id+"."+id)
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", load, en.slots))
	header.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// answerBody is the body of a successful response.
func answerBody(id string, body []byte) string {
	return fmt.Sprintf("answer to %s with %d bytes", id, len(body))
}

// allRuns returns a copy of the requests that the endpoint ran.
func (en *endpoint) allRuns() []run {
	en.mu.Lock()
	defer en.mu.Unlock()
	all := make([]run, 0, len(en.runs))
	for _, ru := range en.runs {
		all = append(all, *ru)
	}
	return all
}
