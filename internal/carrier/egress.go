package carrier

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/pacer"
	"github.com/guavastall/guavastall/internal/placer"
)

// headerLink holds the state of the VM's link in a response between nodes, on
// routes with large responses: the milliseconds until another response would
// begin to leave, and the link's rate in kilobytes per second.
const headerLink = "Gs-Link"

// partWriteTimeout bounds the write of one part of a body to another node, which
// may have become unreachable. Parts take a few milliseconds of the link.
const partWriteTimeout = 5 * time.Second

// egress sends responses to other nodes over the link of this VM, as its
// [pacer.Link] decides. It is safe for concurrent use.
type egress struct {
	now func() time.Time

	// mu is held only for computations and never together with another lock.
	mu     sync.Mutex
	link   *pacer.Link
	grants map[*pacer.Transfer]chan int
	timer  *time.Timer
}

func newEgress(link *pacer.Link, now func() time.Time) *egress {
	eg := &egress{now: now, link: link, grants: map[*pacer.Transfer]chan int{}}
	eg.timer = time.AfterFunc(time.Hour, eg.wakeUp)
	eg.timer.Stop()
	return eg
}

// count records a small message to another node.
func (eg *egress) count(bytes int) {
	now := eg.now()
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.link.Count(bytes, now)
}

// large reports whether a response of the given size is sent in parts.
func (eg *egress) large(bytes float64) bool {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.link.Large(bytes)
}

// admit admits the request's response to the link or returns a refusal. The caller
// must end the transfer.
func (eg *egress) admit(
	rq *request, bytes float64, work time.Duration,
) (*pacer.Transfer, *result) {
	now := eg.now()
	of := pacer.Offer{Bytes: bytes, Work: work, Due: rq.due(), Latest: rq.latestSent(now)}
	if rq.acceptLate {
		of.Patience = max(min(rq.route.Objective, rq.deadline.Sub(now)), 1)
	}
	eg.mu.Lock()
	defer eg.mu.Unlock()
	tr, retryAfter := eg.link.Admit(of, now)
	if tr == nil {
		rs := refusal(answerer.Overloaded, "the link is full", retryAfter)
		rs.linkFull = true
		return nil, rs
	}
	return tr, nil
}

// due returns the time by which the response has its full value.
func (rq *request) due() time.Time {
	if rq.route == nil || rq.route.Objective <= 0 || rq.deadline.Before(rq.objective) {
		return rq.deadline
	}
	return rq.objective
}

// latestSent returns the time by which a late response is to be sent. An eighth of
// the time left is kept for what was not foreseen.
func (rq *request) latestSent(now time.Time) time.Time {
	return now.Add(max(rq.deadline.Sub(now), 0) * 7 / 8)
}

// report returns the state of the link.
func (eg *egress) report() placer.Link {
	now := eg.now()
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return placer.Link{Wait: eg.link.Backlog(now), BytesPerSecond: eg.link.Rate()}
}

// start returns a transfer for a body that was not expected to be large.
func (eg *egress) start(rq *request) *pacer.Transfer {
	latest := rq.latestSent(eg.now())
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return eg.link.Start(rq.due(), latest)
}

// write writes a large body in parts as the link has room. It returns early if
// ctx ends or a write fails. The caller ends the transfer.
func (eg *egress) write(
	ctx context.Context, w http.ResponseWriter, body []byte, tr *pacer.Transfer,
) error {
	rc := http.NewResponseController(w)
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	granted := eg.ready(tr, len(body))
	for len(body) > 0 {
		var bytes int
		select {
		case bytes = <-granted:
		case <-ctx.Done():
			return ctx.Err()
		}
		_ = rc.SetWriteDeadline(eg.now().Add(partWriteTimeout))
		if _, err := w.Write(body[:bytes]); err != nil {
			return err
		}
		body = body[bytes:]
		eg.written(tr)
	}
	return nil
}

func (eg *egress) ready(tr *pacer.Transfer, bytes int) <-chan int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	granted := make(chan int, 1)
	eg.grants[tr] = granted
	eg.link.Ready(tr, bytes)
	eg.grant()
	return granted
}

// sending returns the number of bodies that are being sent.
func (eg *egress) sending() int {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	return len(eg.grants)
}

func (eg *egress) written(tr *pacer.Transfer) {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.link.Written(tr)
	eg.grant()
}

// end ends a transfer; nil is allowed.
func (eg *egress) end(tr *pacer.Transfer) {
	if tr == nil {
		return
	}
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.link.End(tr)
	delete(eg.grants, tr)
	eg.grant()
}

func (eg *egress) wakeUp() {
	eg.mu.Lock()
	defer eg.mu.Unlock()
	eg.grant()
}

// grant wakes the bodies whose next part may be written. The caller must hold
// eg.mu.
func (eg *egress) grant() {
	for {
		tr, bytes, wait := eg.link.Grant(eg.now())
		if tr != nil {
			eg.grants[tr] <- bytes
			continue
		}
		if wait > 0 {
			eg.timer.Reset(wait)
		}
		return
	}
}

func encodeLink(li placer.Link) string {
	return strconv.FormatInt(li.Wait.Milliseconds(), 10) + " " +
		strconv.FormatInt(int64(li.BytesPerSecond/1000), 10)
}

// decodeLink parses a link header. It returns nil if the header is missing or
// malformed.
func decodeLink(text string) *placer.Link {
	waitText, rateText, _ := strings.Cut(text, " ")
	wait, err := strconv.ParseUint(waitText, 10, 31)
	if err != nil {
		return nil
	}
	rate, err := strconv.ParseUint(rateText, 10, 31)
	if err != nil {
		return nil
	}
	return &placer.Link{
		Wait: time.Duration(wait) * time.Millisecond, BytesPerSecond: float64(rate) * 1000,
	}
}
