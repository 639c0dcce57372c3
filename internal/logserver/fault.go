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
	// Refuse answers every request with 503; it takes no effect.
	Refuse = "refuse"
	// Hang never answers; the request takes no effect.
	Hang = "hang"
)

// Faults are the failures to inject. The zero value is a healthy log.
type Faults struct {
	// Outage is "", [Refuse] or [Hang].
	Outage string `json:"outage,omitempty"`
	// Delay is added to each request. An append takes effect after the delay
	// even if the client has left by then.
	Delay checker.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of appends, from now on, that take effect
	// and whose answers are lost.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// LoseEvery loses the answer of every nth append; zero loses none.
	LoseEvery int `json:"loseEvery,omitempty"`
	// Silent loses answers by silence; else the connection is closed.
	Silent bool `json:"silent,omitempty"`
	// Freeze suspends the log: requests wait and take effect when it ends.
	Freeze bool `json:"freeze,omitempty"`
}

// DecodeFaults reads faults from JSON and refuses unknown fields and values.
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
	if fa.Delay < 0 || fa.LoseAnswers < 0 || fa.LoseEvery < 0 {
		return Faults{}, errors.New("faults: a count or delay is negative")
	}
	return fa, nil
}

// faultControl holds the faults in force.
type faultControl struct {
	mu      sync.Mutex
	faults  Faults
	appends int
	changed chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// SetFaults replaces the faults in force.
func (sv *Server) SetFaults(fa Faults) {
	fc := &sv.faults
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.faults = fa
	fc.appends = 0
	close(fc.changed)
	fc.changed = make(chan struct{})
}

// Faults returns the faults in force.
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

// errRefused and errAbandoned end a request without effect.
var (
	errRefused   = errors.New("the log is out of service")
	errAbandoned = errors.New("the client or the server ended the request")
)

// admit applies the faults that act before a request takes effect. A request
// that hangs ends with the client. One that is only late or frozen goes on
// after the client has left, if it is an append. A request that was delayed
// already is not delayed again.
func (fc *faultControl) admit(ctx context.Context, appends, delayed bool) error {
	for {
		fa, changed := fc.get()
		switch fa.Outage {
		case Refuse:
			return errRefused
		case Hang:
			// The request stays without effect when the outage ends, so that a
			// test does not depend on which of the two ends first.
			changed = nil
		}
		left := ctx.Done()
		if appends && fa.Outage == "" {
			left = nil
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
		case <-left:
			return errAbandoned
		case <-fc.closed:
			return errAbandoned
		}
	}
}

// loses reports whether the answer of an append that took effect is lost, and
// whether by silence.
func (fc *faultControl) loses() (lost, silent bool) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.appends++
	switch {
	case fc.faults.LoseAnswers > 0:
		fc.faults.LoseAnswers--
		lost = true
	case fc.faults.LoseEvery > 0:
		lost = fc.appends%fc.faults.LoseEvery == 0
	}
	return lost, fc.faults.Silent
}
