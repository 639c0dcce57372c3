//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id, method, path string
	ma               *machine
	sent, ended      time.Time
	status           int
	body             string
	err              error
}

// clients sends requests and collects their outcomes.
type clients struct {
	de       *deployment
	deadline time.Duration
	number   atomic.Int64
	senders  sync.WaitGroup

	mu   sync.Mutex
	outs []outcome
}

// send sends one request on a new connection.
func (cl *clients) send(ma *machine, method, path string) outcome {
	out := outcome{
		id: fmt.Sprintf("c%06d", cl.number.Add(1)), method: method, path: path, ma: ma,
		sent: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), cl.deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body")
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+ma.address(portOutbound)+path, body)
	if err != nil {
		out.err = err
		return out
	}
	rq.GetBody = nil
	rq.Host = "shop.example"
	rq.Header.Set("X-Request-Id", out.id)
	rq.Header.Set("X-Deadline-Ms", fmt.Sprint(cl.deadline.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	rs, err := client.Do(rq)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(rs.Body)
		_ = rs.Body.Close()
		out.status, out.body = rs.StatusCode, string(data)
	}
	out.err, out.ended = err, time.Now()
	cl.mu.Lock()
	cl.outs = append(cl.outs, out)
	cl.mu.Unlock()
	return out
}

// start sends requests to the machine one after the other until ctx is done.
func (cl *clients) start(
	ctx context.Context, ma *machine, method, path string, pause time.Duration,
) {
	cl.senders.Add(1)
	go func() {
		defer cl.senders.Done()
		for ctx.Err() == nil {
			cl.send(ma, method, path)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}()
}

func (cl *clients) outcomes() []outcome {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]outcome(nil), cl.outs...)
}

func (ou *outcome) String() string {
	if ou.err != nil {
		return fmt.Sprintf("no complete answer (%v)", ou.err)
	}
	return fmt.Sprint(ou.status)
}

// writeRecord writes what was sent, answered and run, in the order in which it was sent.
func (cl *clients) writeRecord() {
	runs := map[string][]string{}
	for _, en := range cl.de.endpoints {
		for _, ru := range en.allRuns() {
			text := fmt.Sprintf("%s on %s at %.3f s", en.id, en.ma.ip,
				ru.at.Sub(cl.de.record.start).Seconds())
			if ru.ended.IsZero() {
				text += ", cut off"
			}
			runs[ru.id] = append(runs[ru.id], text)
		}
	}
	outs := cl.outcomes()
	slices.SortFunc(outs, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	for _, out := range outs {
		ran := "did not run"
		if len(runs[out.id]) > 0 {
			ran = "ran at " + strings.Join(runs[out.id], "; ")
		}
		cl.de.record.printAt(out.sent, "sent %s %s %s to %s; answered at %.3f s: %s; %s", out.id,
			out.method, out.path, out.ma.ip, out.ended.Sub(cl.de.record.start).Seconds(),
			out.String(), ran)
	}
}
