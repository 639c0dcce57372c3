package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/limiter"
)

// Guards against admitting new calls to a target whose data centre is out of
// service. A node that does not know this yet still sends them.
func TestAdmissionRejectsWhileOut(t *testing.T) {
	out := true
	ad := &admission{
		limiter: limiter.New(limiter.Config{Slots: 4, Initial: 4}), now: time.Now,
		outOfService: func() bool { return out },
	}
	err := ad.acquire(t.Context(), time.Now().Add(time.Minute))
	require.Equal(t, answerer.DataCentreOut, answerer.KindOf(err))
	require.True(t, answerer.KindOf(err).Answer().NotRun)
	out = false
	require.NoError(t, ad.acquire(t.Context(), time.Now().Add(time.Minute)))
}
