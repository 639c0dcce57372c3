package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/limiter"
)

// Guards against new work at a target whose data centre is out, sent by a node
// that has not heard of it.
func TestGateRefusesWhileOut(t *testing.T) {
	out := true
	ga := &gate{
		limiter: limiter.New(limiter.Config{Slots: 4, Initial: 4}), now: time.Now,
		out: func() bool { return out },
	}
	err := ga.enter(t.Context(), time.Now().Add(time.Minute))
	require.Equal(t, answerer.DataCentreOut, answerer.KindOf(err))
	require.True(t, answerer.KindOf(err).Answer().NotRun)
	out = false
	require.NoError(t, ga.enter(t.Context(), time.Now().Add(time.Minute)))
}
