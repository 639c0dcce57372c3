// Package measurer measures a running deployment of nodes: convergence,
// control traffic, processor time, memory, added latency, restarts, data centre
// moves and rollouts.
//
// It starts no processes itself. The caller starts the deployment and describes it
// in a [Deployment], including functions that stop and start nodes.
package measurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/guavastall/guavastall/internal/logserver"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

const (
	// requestTimeout bounds one request to a node or the log.
	requestTimeout = 10 * time.Second
	// pollInterval is the time between two polls of a node. It limits the resolution
	// of convergence and restart times: with 20 ms, every convergence of 10 nodes
	// was measured as 24 to 25 ms.
	pollInterval = 5 * time.Millisecond
	// maxParallel bounds the nodes that are polled concurrently, so that polling
	// does not compete with the nodes for the processors.
	maxParallel = 16
)

// Node is a running node.
type Node struct {
	DataCentre checker.DataCentre
	Service    checker.Service
	PID        int
	Callers    netip.AddrPort
	Operator   netip.AddrPort
	// Target is the address of the node's target; the zero value is none.
	Target netip.AddrPort
}

// Deployment is a set of running nodes and their log.
type Deployment struct {
	Name  string
	Nodes []*Node
	Log   netip.AddrPort
	// Kill kills the processes of nodes, and Start restarts them and updates their
	// process IDs. Both may be nil if no restart is measured.
	Kill, Start func(nodes []*Node) error
}

// Measurer measures one deployment. Use [New].
type Measurer struct {
	deployment *Deployment
	document   *checker.Document
	random     *rand.Rand
	http       *http.Client
	clients    map[*Node]*operator.Client
}

// New returns a measurer. The seed determines its random choices. The document is
// the configuration that it publishes and modifies.
func New(dep *Deployment, doc *checker.Document, seed uint64) *Measurer {
	me := &Measurer{
		deployment: dep, document: doc, random: rand.New(rand.NewPCG(seed, 0)),
		http: &http.Client{Timeout: requestTimeout}, clients: map[*Node]*operator.Client{},
	}
	for _, no := range dep.Nodes {
		me.clients[no] = operator.New(no.Operator, "", requestTimeout)
	}
	return me
}

// Close closes idle connections.
func (me *Measurer) Close() { me.http.CloseIdleConnections() }

// each calls the function for all nodes, at most maxParallel at a time, and joins
// the errors.
func (me *Measurer) each(nodes []*Node, fn func(int, *Node) error) error {
	errs := make([]error, len(nodes))
	slots := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for nn, no := range nodes {
		slots <- struct{}{}
		wg.Go(func() {
			errs[nn] = fn(nn, no)
			<-slots
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// pollUntil polls the nodes until each has met the condition once, and returns the
// elapsed time.
func (me *Measurer) pollUntil(
	ctx context.Context, nodes []*Node, met func(*Node) bool,
) (time.Duration, error) {
	began := time.Now()
	pending := slices.Clone(nodes)
	for {
		done := make([]bool, len(pending))
		_ = me.each(pending, func(nn int, no *Node) error {
			done[nn] = met(no)
			return nil
		})
		remaining := pending[:0:0]
		for nn, no := range pending {
			if !done[nn] {
				remaining = append(remaining, no)
			}
		}
		if pending = remaining; len(pending) == 0 {
			return time.Since(began), nil
		}
		select {
		case <-ctx.Done():
			return time.Since(began), fmt.Errorf("%d of %d nodes are behind, first %v: %w",
				len(pending), len(nodes), pending[0].Operator, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// AwaitMembership waits until every node sees all others as alive, and returns the
// elapsed time.
func (me *Measurer) AwaitMembership(ctx context.Context) (time.Duration, error) {
	return me.pollUntil(ctx, me.deployment.Nodes, func(no *Node) bool {
		view, err := me.clients[no].Mesh(ctx)
		alive := 0
		for _, dc := range view.DataCentres {
			alive += dc.Alive
		}
		return err == nil && alive == len(me.deployment.Nodes)
	})
}

// Publish publishes the document through a random node and waits until every node
// has applied it. It returns the revision and the time since the request.
func (me *Measurer) Publish(ctx context.Context) (checker.Revision, time.Duration, error) {
	cl := me.clients[me.deployment.Nodes[me.random.IntN(len(me.deployment.Nodes))]]
	conf, err := cl.Configuration(ctx)
	if err != nil {
		return 0, 0, fmt.Errorf("read the configuration: %w", err)
	}
	began := time.Now()
	ac, err := cl.Publish(ctx, operator.Publication{
		ID: uuid.NewString(), Base: conf.Revision, Document: me.document,
	})
	if err != nil {
		return 0, 0, fmt.Errorf("publish: %w", err)
	}
	_, err = me.pollUntil(ctx, me.deployment.Nodes, func(no *Node) bool {
		st, err := me.clients[no].Status(ctx)
		return err == nil && st.Revision >= ac.Revision
	})
	return ac.Revision, time.Since(began), err
}

// Times summarises durations.
type Times struct {
	Count  int              `json:"count"`
	Median checker.Duration `json:"median"`
	P99    checker.Duration `json:"p99"`
	Worst  checker.Duration `json:"worst"`
}

// NewTimes summarises the durations. With fewer than 100 of them P99 is the worst.
func NewTimes(list []time.Duration) Times {
	if len(list) == 0 {
		return Times{}
	}
	sorted := slices.Sorted(slices.Values(list))
	return Times{
		Count: len(sorted), Median: checker.Duration(quantile(sorted, 0.5)),
		P99:   checker.Duration(quantile(sorted, 0.99)),
		Worst: checker.Duration(sorted[len(sorted)-1]),
	}
}

// quantile returns the value at the given share of the sorted list.
func quantile(sorted []time.Duration, share float64) time.Duration {
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Converge publishes changes sequentially and summarises the times until every node
// has applied each of them.
func (me *Measurer) Converge(
	ctx context.Context, changes int, gap time.Duration,
) (Times, error) {
	var list []time.Duration
	for nn := range changes {
		me.alterDocument(nn)
		_, took, err := me.Publish(ctx)
		if err != nil {
			return NewTimes(list), fmt.Errorf("change %d: %w", nn, err)
		}
		list = append(list, took)
		time.Sleep(gap)
	}
	return NewTimes(list), nil
}

// alterDocument changes the document so that the next publication differs.
func (me *Measurer) alterDocument(number int) {
	for name, pr := range me.document.Profiles {
		pr.Limits.QueueTime = checker.Duration(time.Duration(50+number%50) * time.Millisecond)
		me.document.Profiles[name] = pr
	}
}

// LogStats returns the request counts of the log.
func (me *Measurer) LogStats(ctx context.Context) (logserver.Stats, error) {
	return me.stats(ctx, http.MethodGet)
}

// ResetLogStats resets the request counts of the log.
func (me *Measurer) ResetLogStats(ctx context.Context) error {
	_, err := me.stats(ctx, http.MethodDelete)
	return err
}

func (me *Measurer) stats(ctx context.Context, method string) (logserver.Stats, error) {
	var st logserver.Stats
	err := me.get(ctx, method, "http://"+me.deployment.Log.String()+"/stats", &st)
	return st, err
}

// get sends a request without a body and decodes the JSON response.
func (me *Measurer) get(ctx context.Context, method, url string, want any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	resp, err := me.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read the response of %s: %w", url, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %.200s", method, url, resp.StatusCode, data)
	}
	return json.Unmarshal(data, want)
}
