package commander

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// fakeNode applies publications to its own state. logUnavailable makes appends
// to the log fail.
type fakeNode struct {
	state          *reducer.State
	logUnavailable bool
	drained        bool
}

func (fn *fakeNode) State() *reducer.State { return fn.state }

func (fn *fakeNode) Publish(_ context.Context, rec reducer.Record) (reducer.Result, error) {
	if fn.logUnavailable {
		return reducer.Result{}, answerer.New(answerer.PlatformUnavailable, "append: refused")
	}
	data, err := reducer.Encode(rec)
	if err != nil {
		return reducer.Result{}, err
	}
	next, re, err := fn.state.Apply(fn.state.Next(), data)
	fn.state = next
	return re, err
}

func (fn *fakeNode) MergeFacts(_ context.Context, facts []reducer.Fact) bool {
	for _, fa := range facts {
		fn.state = fn.state.Join(fa)
	}
	return !fn.logUnavailable
}

func (fn *fakeNode) Convergence(re checker.Revision, _ time.Time) operator.Convergence {
	return operator.Convergence{Revision: re, Everywhere: fn.state.Revision() >= re}
}

func (fn *fakeNode) Status(time.Time) operator.Status {
	return operator.Status{Revision: fn.state.Revision(), Ready: true}
}

func (fn *fakeNode) Mesh(time.Time) operator.Mesh {
	return operator.Mesh{DataCentres: []operator.DataCentre{{Name: "lahore", Alive: 1, Known: 1}}}
}

func (fn *fakeNode) Drain() { fn.drained = true }

// start serves a commander on a loopback address and returns a client of it and
// the address.
func start(t *testing.T, fn *fakeNode, token string) (*operator.Client, netip.AddrPort) {
	log := logrus.New()
	log.SetOutput(&bytes.Buffer{})
	co := New(Config{
		Token: token, Node: fn, Metrics: metrics.NewRegistry(), Log: log,
		Now: func() time.Time { return time.Unix(1000, 0) },
	})
	srv := httptest.NewServer(co)
	t.Cleanup(srv.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	return operator.New(addr, token, 5*time.Second), addr
}

func exampleDocument(t *testing.T) *checker.Document {
	data, err := os.ReadFile("../../examples/yaadgar.json")
	require.NoError(t, err)
	doc, err := checker.Decode(data)
	require.NoError(t, err)
	return doc
}

// Guards against an operator's change that is lost, applied twice or accepted
// although its base revision is outdated.
func TestPublishAndChoose(t *testing.T) {
	ctx := t.Context()
	cl, _ := start(t, &fakeNode{state: &reducer.State{}}, "")
	pb := operator.Publication{ID: "one", Document: exampleDocument(t)}
	ac, err := cl.Publish(ctx, pb)
	require.NoError(t, err)
	repeated, err := cl.Publish(ctx, pb)
	require.NoError(t, err)
	require.Equal(t, ac, repeated)

	var oe *operator.Error
	_, err = cl.Publish(ctx, operator.Publication{ID: "two", Document: exampleDocument(t)})
	require.ErrorAs(t, err, &oe)
	require.Equal(t, "staleRevision", oe.Kind)

	ac, err = cl.Choose(ctx, operator.Choice{ID: "three", Base: ac.Revision, Service: "tag", Version: "v2"})
	require.NoError(t, err)
	require.NotZero(t, ac.Move)
	list, err := cl.Moves(ctx)
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.Equal(t, "pending", list[0].Phase)
	co, err := cl.Wait(ctx, ac.Revision)
	require.NoError(t, err)
	require.True(t, co.Everywhere)
}

// Guards against invalid requests that change the state or get the wrong error
// kind or status.
func TestBadRequests(t *testing.T) {
	fn := &fakeNode{state: &reducer.State{}}
	cl, addr := start(t, fn, "")
	_, err := cl.Publish(t.Context(), operator.Publication{ID: "one", Document: exampleDocument(t)})
	require.NoError(t, err)
	before := fn.state
	for _, tt := range []struct {
		name, path, body, kind string
		status                 int
	}{
		{"not JSON", operator.PathPublish, "{", "badRequest", 400},
		{"unknown field", operator.PathPublish, `{"id":"x","bass":1}`, "badRequest", 400},
		{"no document", operator.PathPublish, `{"id":"x"}`, "badRequest", 400},
		{"bad document", operator.PathPublish, `{"id":"x","document":{"profiles":{"a":{}}}}`, "invalidDocument", 422},
		{"repeated name", operator.PathCheck, `{"profiles":{},"profiles":{}}`, "invalidDocument", 422},
		{"too large", operator.PathChoose, `{"id":"` + strings.Repeat("x", maxRequestBytes) + `"}`, "tooLarge", 413},
		{"no ID", operator.PathChoose, `{"service":"tag","version":"v9"}`, "badRequest", 400},
		{"empty choice", operator.PathChoose, `{"id":"x","service":"tag"}`, "badRequest", 400},
		{"unknown service", operator.PathChoose, `{"id":"x","service":"tagg","version":"v9"}`, "notFound", 404},
		{"unknown profile", operator.PathChoose, `{"id":"x","service":"tag","profile":"none"}`, "notFound", 404},
		{"unknown data centre", operator.PathDataCentres + "paris", `{"out":true}`, "notFound", 404},
	} {
		t.Run(tt.name, func(t *testing.T) {
			resp, err := http.Post("http://"+addr.String()+tt.path, "application/json", strings.NewReader(tt.body))
			require.NoError(t, err)
			var body bytes.Buffer
			_, _ = body.ReadFrom(resp.Body)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tt.status, resp.StatusCode)
			require.Contains(t, body.String(), `"error":"`+tt.kind+`"`)
		})
	}
	require.Same(t, before, fn.state)
}

// Guards against requests accepted without a valid token or, if no token is
// configured, from other than loopback addresses.
func TestToken(t *testing.T) {
	cl, addr := start(t, &fakeNode{state: &reducer.State{}}, "secret")
	_, err := cl.Status(t.Context())
	require.NoError(t, err)
	_, err = operator.New(addr, "guess", time.Second).Status(t.Context())
	require.ErrorContains(t, err, "unauthorised")

	co := New(Config{Node: &fakeNode{}, Log: logrus.New()})
	req := httptest.NewRequest(http.MethodPost, operator.PathDrain, nil)
	req.RemoteAddr = "192.0.2.1:4000"
	rec := httptest.NewRecorder()
	co.ServeHTTP(rec, req)
	require.Equal(t, http.StatusUnauthorized, rec.Code)
}

// Guards against a data centre that cannot be taken out while the log is
// unavailable.
func TestDataCentreWithoutLog(t *testing.T) {
	fn := &fakeNode{state: &reducer.State{}, logUnavailable: true}
	cl, _ := start(t, fn, "")
	an, err := cl.SetDataCentre(t.Context(), "lahore", true)
	require.NoError(t, err)
	require.False(t, an.Logged)
	require.True(t, fn.state.Out("lahore"))
	_, err = cl.Publish(t.Context(), operator.Publication{ID: "x", Document: exampleDocument(t)})
	require.ErrorContains(t, err, "platformUnavailable")
	require.NoError(t, cl.Drain(t.Context()))
	require.True(t, fn.drained)
}
