package meshrunner

import (
	"context"
	"net"
	"time"

	"github.com/guavastall/guavastall/internal/acceptor"
)

const (
	// maxPipelined bounds the unanswered requests of a client's connection.
	maxPipelined = 32
	// clientWriteTimeout bounds the time in which a client must accept 64 KiB of a
	// response. Clients may read slowly, and a response that is not read holds memory.
	clientWriteTimeout = 10 * time.Second
	// headMemoryFraction is the fraction of the process's memory for the heads of
	// clients' requests, and connMemoryFraction that for their connections.
	headMemoryFraction = 1.0 / 8
	connMemoryFraction = 1.0 / 4
	// connBytes is the memory of a connection: the read buffer and the stack of the
	// goroutine that reads.
	connBytes = 16 << 10
	// fileDescriptors are the descriptors that are not available for connections.
	fileDescriptors = 200
	// clientDescriptorFraction is the fraction of the other descriptors for clients. The
	// rest is for connections to the target and between nodes.
	clientDescriptorFraction = 0.5
	// defaultMemory and defaultDescriptors are assumed if the settings set no limit.
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
)

// maxClientConns returns the number of connections that clients may open.
func (se *Settings) maxClientConns() int {
	descriptors := se.Descriptors
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	byDescriptors := int(clientDescriptorFraction * float64(descriptors-fileDescriptors))
	byMemory := int(connMemoryFraction * float64(se.memoryLimit()) / connBytes)
	return max(min(byDescriptors, byMemory), 1)
}

// memoryLimit returns the memory limit of the process, or a default.
func (se *Settings) memoryLimit() int64 {
	if se.Memory > 0 {
		return se.Memory
	}
	return defaultMemory
}

// serveClients serves clients until ctx is done, and reports its end on done.
func (ru *Runner) serveClients(ctx context.Context, done chan<- error) {
	se := ru.settings.Load()
	server := acceptor.New(acceptor.Config{
		Concurrent: ru.carrier.MayRunConcurrently, MaxConns: se.maxClientConns(),
		MaxPipelined: maxPipelined, MaxHeadBytes: maxHeaderBytes,
		HeadMemory:  int64(headMemoryFraction * float64(se.memoryLimit())),
		HeadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: clientWriteTimeout, StopTimeout: shutdownTimeout,
		Log: ru.Log, Metrics: ru.Metrics, Now: ru.Now,
	}, ru.carrier.Clients())
	listener, err := net.Listen("tcp", se.Clients.String())
	if err != nil {
		done <- err
		return
	}
	done <- server.Serve(ctx, listener)
}
