package logserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// The values of [Faults].Outage.
const (
	// Refuse rejects every request with status 503 and without effect.
	Refuse = "refuse"
	// Hang never responds; the request has no effect.
	Hang = "hang"
)

// Faults are the failures to inject. The zero value injects none.
type Faults struct {
	// Outage is "", [Refuse] or [Hang].
	Outage string `json:"outage,omitempty"`
	// Delay is added to each request. An append takes effect after the delay
	// even if the client has disconnected by then.
	Delay checker.Duration `json:"delay,omitempty"`
	// DropResponses is the number of following appends that take effect but whose
	// responses are dropped.
	DropResponses int `json:"loseAnswers,omitempty"`
	// DropEvery drops the response to every nth append; zero drops none.
	DropEvery int `json:"loseEvery,omitempty"`
	// Silent drops a response by keeping the connection open without sending
	// anything; otherwise the connection is closed.
	Silent bool `json:"silent,omitempty"`
	// Freeze suspends the log: requests block and take effect once it is unset.
	Freeze bool `json:"freeze,omitempty"`
}

// DecodeFaults decodes faults from JSON and rejects unknown fields and values.
func DecodeFaults(data []byte) (Faults, error) {
	var fa Faults
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&fa); err != nil {
		return Faults{}, fmt.Errorf("faults: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Faults{}, errors.New("faults: text after the end")
	}
	if fa.Outage != "" && fa.Outage != Refuse && fa.Outage != Hang {
		return Faults{}, fmt.Errorf("faults: outage %q is not %q or %q", fa.Outage, Refuse, Hang)
	}
	if fa.Delay < 0 || fa.DropResponses < 0 || fa.DropEvery < 0 {
		return Faults{}, errors.New("faults: a count or delay is negative")
	}
	return fa, nil
}

// faultControl holds the active faults.
type faultControl struct {
	mu      sync.Mutex
	faults  Faults
	appends int
	changed chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// SetFaults replaces the active faults.
func (sv *Server) SetFaults(fa Faults) {
	fc := &sv.faults
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.faults = fa
	fc.appends = 0
	close(fc.changed)
	fc.changed = make(chan struct{})
}

// Faults returns the active faults.
func (sv *Server) Faults() Faults {
	fa, _ := sv.faults.get()
	return fa
}

func (fc *faultControl) get() (Faults, <-chan struct{}) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.faults, fc.changed
}

func (fc *faultControl) close() {
	fc.once.Do(func() { close(fc.closed) })
}

// errRefused and errAborted end a request without effect.
var (
	errRefused = errors.New("the log is out of service")
	errAborted = errors.New("the client or the server ended the request")
)

// admit applies the faults that act before a request takes effect. A request
// that hangs ends when the client disconnects. An append that is only delayed or
// frozen takes effect even if the client has disconnected. The parameter delayed
// says that the request has been delayed and must not be delayed again.
func (fc *faultControl) admit(ctx context.Context, appends, delayed bool) error {
	for {
		fa, changed := fc.get()
		switch fa.Outage {
		case Refuse:
			return errRefused
		case Hang:
			// The request has no effect even if the outage ends before the client
			// disconnects, so that tests do not depend on which happens first.
			changed = nil
		}
		disconnected := ctx.Done()
		if appends && fa.Outage == "" {
			disconnected = nil
		}
		var timer <-chan time.Time
		if fa.Outage == "" && !fa.Freeze {
			if fa.Delay <= 0 || delayed {
				return nil
			}
			timer = time.After(time.Duration(fa.Delay))
		}
		select {
		case <-timer:
			delayed = true
		case <-changed:
		case <-disconnected:
			return errAborted
		case <-fc.closed:
			return errAborted
		}
	}
}

// dropResponse counts an append that took effect. It reports whether its response
// is dropped, and whether the connection stays open.
func (fc *faultControl) dropResponse() (dropped, silent bool) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.appends++
	switch {
	case fc.faults.DropResponses > 0:
		fc.faults.DropResponses--
		dropped = true
	case fc.faults.DropEvery > 0:
		dropped = fc.appends%fc.faults.DropEvery == 0
	}
	return dropped, fc.faults.Silent
}
