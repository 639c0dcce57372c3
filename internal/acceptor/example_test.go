package acceptor_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/acceptor"
)

func Example() {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, "served ", r.URL.Path)
	})
	server := acceptor.New(acceptor.Config{
		Concurrent:   func(r *http.Request) bool { return r.Method == http.MethodGet },
		MaxPipelined: 8, MaxHeadBytes: 16 << 10, HeadMemory: 1 << 20,
		HeadTimeout: time.Second, IdleTimeout: time.Minute, WriteTimeout: time.Second,
		StopTimeout: time.Second, Log: logrus.New(), Metrics: metrics.NewRegistry(),
		Now: time.Now,
	}, handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()

	rs, err := http.Get("http://" + listener.Addr().String() + "/a")
	if err != nil {
		fmt.Println(err)
		return
	}
	_ = rs.Body.Close()
	stop()
	fmt.Println(rs.StatusCode, <-ended)
	// Output: 200 <nil>
}
