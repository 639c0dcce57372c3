package meshrunner

import (
	"context"
	"time"

	"github.com/guavastall/guavastall/internal/acceptor"
)

const (
	// maxPipelined bounds the unanswered requests of a client's connection.
	maxPipelined = 32
	// clientWriteTimeout bounds the time in which a client must accept 64 KiB of a
	// response. Clients may read slowly, and a response that is not read holds memory.
	clientWriteTimeout = 10 * time.Second
	// clientConnShare is the share of the descriptors and of the memory that clients'
	// connections may use.
	clientConnShare = 0.3
	// clientHeadShare is the share of the memory for the heads of clients' requests. It is
	// above that of the unfinished heads that the listener allows, so that these leave room
	// for ordinary requests.
	clientHeadShare = 1.0 / 8
)

// serveClients serves clients until ctx is done, and reports its end on done.
func (ru *Runner) serveClients(ctx context.Context, done chan<- error) {
	se := ru.settings.Load()
	bu := se.budget()
	server := acceptor.New(acceptor.Config{
		Concurrent: ru.carrier.MayRunConcurrently, MaxPipelined: maxPipelined,
		MaxHeadBytes: maxHeaderBytes, HeadMemory: int64(clientHeadShare * float64(bu.Memory)),
		HeadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: clientWriteTimeout, StopTimeout: shutdownTimeout,
		Log: ru.Log, Metrics: ru.Metrics, Now: ru.Now,
	}, ru.carrier.Clients())
	listener, err := ru.listen("clients", se.Clients, bu.Conns(clientConnShare))
	if err != nil {
		done <- err
		return
	}
	done <- server.Serve(ctx, listener)
}
