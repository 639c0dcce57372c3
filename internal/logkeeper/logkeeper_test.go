package logkeeper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/guavastall/guavastall/internal/carrier"
)

// blockedWriter is a writer whose Write blocks until release is closed, such as a
// pipe that nobody reads.
type blockedWriter struct{ release chan struct{} }

func (bw blockedWriter) Write(data []byte) (int, error) {
	<-bw.release
	return len(data), nil
}

func TestWriterNeverBlocks(t *testing.T) {
	bw := blockedWriter{make(chan struct{})}
	wr := NewWriter(bw)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go wr.Run(ctx, done)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 2000 { // 2 MB into 256 KiB
		_, err := wr.Write(line)
		assert.NoError(t, err)
	}
	assert.Positive(t, wr.Dropped())
	cancel()
	close(bw.release)
	<-done
}

type buffer struct {
	sync.Mutex
	bytes.Buffer
}

func (bu *buffer) Write(data []byte) (int, error) {
	bu.Lock()
	defer bu.Unlock()
	return bu.Buffer.Write(data)
}

func TestWriterWritesAllAtTheEnd(t *testing.T) {
	var out buffer
	wr := NewWriter(&out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go wr.Run(ctx, done)
	for range 100 {
		_, _ = wr.Write([]byte("line\n"))
	}
	cancel()
	<-done
	assert.Equal(t, 100, strings.Count(out.String(), "line\n"))
}

// Under load, two nodes log the same requests.
func TestRequestsSampledByID(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Unix(1_000_000, 0)
	var logged [2]map[string]bool
	for node := range logged {
		re := NewRequests(log)
		for nn := range failedPerSecond { // uses up the lines for unsampled requests
			re.Wants(fmt.Sprint("other", node, nn), true, now)
		}
		logged[node] = map[string]bool{}
		for nn := range 200 {
			if id := fmt.Sprint(nn); re.Wants(id, true, now) {
				logged[node][id] = true
			}
		}
	}
	assert.NotEmpty(t, logged[0])
	assert.Equal(t, logged[0], logged[1])
}

func TestRequestsBounded(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	re := NewRequests(log)
	now := time.Unix(1_000_000, 0)
	failed, served := 0, 0
	for nn := range 2000 {
		if re.Wants(fmt.Sprint(nn), false, now) {
			served++
		}
		if re.Wants(fmt.Sprint(nn), true, now) {
			failed++
		}
	}
	assert.Equal(t, servedPerSecond, served)
	assert.Equal(t, failedPerSecond, failed, "served requests do not use up the limit of failed ones")
	assert.Equal(t, int64(4000-served-failed), re.Skipped())
	assert.True(t, re.Wants("1", false, now.Add(time.Second)))
	re.Event(carrier.Event{Name: "request", ID: "1"})
}
