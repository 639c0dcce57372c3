// Package commander serves the operator interface of a node over HTTP.
package commander

import (
	"cmp"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// maxRequestBytes limits the size of a request: a document and the JSON around it.
const maxRequestBytes = checker.MaxDocumentBytes + 4096

// Node is the node that the operator interface controls.
type Node interface {
	// State returns the configuration state in force.
	State() *reducer.State
	// Publish appends a record to the log and waits until it is applied.
	Publish(ctx context.Context, rec reducer.Record) (reducer.Result, error)
	// MergeFacts merges facts into the local state and distributes them. It reports
	// whether they were also written to the log.
	MergeFacts(ctx context.Context, facts []reducer.Fact) (logged bool)
	// Convergence returns which data centres and nodes have applied a revision.
	Convergence(re checker.Revision, now time.Time) operator.Convergence
	// Status returns the node's status.
	Status(now time.Time) operator.Status
	// Mesh returns the mesh as the node sees it.
	Mesh(now time.Time) operator.Mesh
	// Drain starts a graceful shutdown of the node.
	Drain()
}

// Config holds the settings and dependencies of a commander.
type Config struct {
	// Token is required in each request. If it is empty, only requests from
	// loopback addresses are accepted.
	Token string
	// Node is the node that requests act on.
	Node Node
	// Metrics are served on [operator.PathMetrics].
	Metrics metrics.Registry
	// Log receives an entry for each change and for each authorised request that
	// fails.
	Log logrus.FieldLogger
	// Now returns the current time.
	Now func() time.Time
}

// Commander is an [http.Handler] that serves the operator interface. It is
// safe for concurrent use.
type Commander struct {
	Config
	mux *http.ServeMux
}

// New returns a commander.
func New(cfg Config) *Commander {
	co := &Commander{Config: cfg, mux: http.NewServeMux()}
	co.mux.HandleFunc("GET "+operator.PathConfiguration, co.handlerFunc(co.configuration))
	co.mux.HandleFunc("POST "+operator.PathCheck, co.handlerFunc(co.check))
	co.mux.HandleFunc("POST "+operator.PathPublish, co.handlerFunc(co.publish))
	co.mux.HandleFunc("POST "+operator.PathChoose, co.handlerFunc(co.choose))
	co.mux.HandleFunc("GET "+operator.PathMoves, co.handlerFunc(co.moves))
	co.mux.HandleFunc("GET "+operator.PathStatus, co.handlerFunc(co.status))
	co.mux.HandleFunc("GET "+operator.PathMesh, co.handlerFunc(co.mesh))
	co.mux.HandleFunc("GET "+operator.PathConvergence, co.handlerFunc(co.convergence))
	co.mux.HandleFunc("POST "+operator.PathDataCentres+"{name}", co.handlerFunc(co.dataCentre))
	co.mux.HandleFunc("POST "+operator.PathDrain, co.handlerFunc(co.drain))
	co.mux.HandleFunc("GET "+operator.PathMetrics, co.handlerFunc(co.metrics))
	return co
}

// ServeHTTP authorises and serves an operator request.
func (co *Commander) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	if err := co.authorise(req); err != nil {
		writeError(wr, err)
		return
	}
	req.Body = http.MaxBytesReader(wr, req.Body, maxRequestBytes)
	co.mux.ServeHTTP(wr, req)
}

// authorise checks the token or, if none is configured, that the request comes
// from a loopback address.
func (co *Commander) authorise(req *http.Request) error {
	if co.Token == "" {
		peer, err := netip.ParseAddrPort(req.RemoteAddr)
		if err == nil && peer.Addr().Unmap().IsLoopback() {
			return nil
		}
		return answerer.New(answerer.Unauthorised,
			"no operator token is configured; only requests from loopback addresses are accepted")
	}
	token := strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(co.Token)) == 1 {
		return nil
	}
	return answerer.New(answerer.Unauthorised, "the operator token is missing or invalid")
}

// handlerFunc returns a handler that writes the result or the error of the
// endpoint as JSON.
func (co *Commander) handlerFunc(
	endpoint func(*http.Request) (any, error),
) func(http.ResponseWriter, *http.Request) {
	return func(wr http.ResponseWriter, req *http.Request) {
		answer, err := endpoint(req)
		if err != nil {
			co.Log.WithFields(logrus.Fields{
				"path": req.URL.Path, "kind": answerer.KindOf(err).String(),
			}).Warn("operator request rejected: " + err.Error())
			writeError(wr, err)
			return
		}
		writeJSON(wr, http.StatusOK, answer)
	}
}

func writeJSON(wr http.ResponseWriter, status int, answer any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(answer)
}

func writeError(wr http.ResponseWriter, err error) {
	an := answerer.KindOf(err).Answer()
	out := operator.Error{Kind: an.Name, Message: err.Error()}
	_ = errors.As(err, &out.Faults)
	writeJSON(wr, an.Status, out)
}

// decode decodes the body of the request and rejects unknown fields.
func decode(req *http.Request, dst any) error {
	dec := json.NewDecoder(req.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(dst)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return answerer.New(answerer.TooLarge,
			fmt.Sprintf("the request body exceeds %d bytes", large.Limit))
	}
	return answerer.Wrap(err, answerer.BadRequest, "read the request")
}

func (co *Commander) configuration(*http.Request) (any, error) {
	st := co.Node.State()
	return operator.Configuration{Revision: st.Revision(), Document: st.Document()}, nil
}

func (co *Commander) check(req *http.Request) (any, error) {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, answerer.Wrap(err, answerer.TooLarge, "read the document")
	}
	if _, err := checker.Decode(data); err != nil {
		return nil, answerer.Wrap(err, answerer.InvalidDocument, "check the document")
	}
	return struct{}{}, nil
}

func (co *Commander) publish(req *http.Request) (any, error) {
	// checker.Decode reads the document because it also rejects duplicate names.
	var pb struct {
		operator.Publication
		Document json.RawMessage `json:"document"`
	}
	if err := decode(req, &pb); err != nil {
		return nil, err
	}
	if len(pb.Document) == 0 {
		return nil, answerer.New(answerer.BadRequest, "the publication has no document")
	}
	doc, err := checker.Decode(pb.Document)
	if err != nil {
		return nil, answerer.Wrap(err, answerer.InvalidDocument, "check the document")
	}
	return co.publishRecord(req.Context(), reducer.Record{ID: pb.ID, Base: pb.Base, Document: doc})
}

func (co *Commander) choose(req *http.Request) (any, error) {
	var ch operator.Choice
	if err := decode(req, &ch); err != nil {
		return nil, err
	}
	if ch.Profile == "" && ch.Version == "" {
		return nil, answerer.New(answerer.BadRequest, "specify a profile, a version or both")
	}
	if err := co.checkChoice(ch); err != nil {
		return nil, err
	}
	choose := reducer.Choose{
		Service: ch.Service, Profile: ch.Profile, Version: ch.Version, Deadline: ch.Deadline,
	}
	return co.publishRecord(req.Context(), reducer.Record{
		ID: ch.ID, Base: ch.Base, Choose: &choose,
	})
}

// checkChoice rejects a choice that would be rejected when its record is
// applied, so that the record is not appended at all.
func (co *Commander) checkChoice(ch operator.Choice) error {
	doc := co.Node.State().Document()
	if doc == nil {
		return answerer.New(answerer.NotReady, "no configuration has been published yet")
	}
	if _, ok := doc.Services[ch.Service]; !ok {
		return answerer.New(answerer.NotFound,
			fmt.Sprintf("service %q does not exist in revision %d", ch.Service,
				co.Node.State().Revision()))
	}
	if _, ok := doc.Profiles[ch.Profile]; !ok && ch.Profile != "" {
		return answerer.New(answerer.NotFound,
			fmt.Sprintf("profile %q does not exist in revision %d", ch.Profile,
				co.Node.State().Revision()))
	}
	return nil
}

// publishRecord publishes the record and returns the response for its result.
func (co *Commander) publishRecord(ctx context.Context, rec reducer.Record) (any, error) {
	if rec.ID == "" {
		return nil, answerer.New(answerer.BadRequest, "the request has no ID")
	}
	rec.Time = co.Now()
	re, err := co.Node.Publish(ctx, rec)
	if err != nil {
		return nil, err
	}
	switch {
	case re.Stale:
		return nil, answerer.New(answerer.StaleRevision, re.Problem)
	case !re.Accepted:
		return nil, answerer.New(answerer.InvalidDocument, re.Problem)
	}
	co.Log.WithFields(logrus.Fields{"id": re.ID, "revision": re.Revision}).
		Info("configuration accepted")
	ac := operator.Accepted{ID: re.ID, Revision: re.Revision}
	if rec.Choose != nil {
		ac.Move = co.Node.State().Split(rec.Choose.Service, "").Move
	}
	return ac, nil
}

func (co *Commander) moves(*http.Request) (any, error) {
	st := co.Node.State()
	list := []operator.Move{}
	for _, pr := range st.Moves() {
		list = append(list, newMove(st, pr))
	}
	return list, nil
}

func newMove(st *reducer.State, pr reducer.Progress) operator.Move {
	mo := operator.Move{
		ID: pr.ID, Service: pr.Service, From: pr.From, To: pr.To,
		Started: pr.Started, Deadline: pr.Deadline,
		Phase: string(pr.Phase), Reason: pr.Reason,
	}
	steps := st.Steps(pr.Service)
	for dc, step := range pr.Steps {
		mp := operator.MoveProgress{DataCentre: dc, Step: step}
		if reached := min(step, len(steps)); reached > 0 && pr.Phase != reducer.TakenBack {
			mp.Share = steps[reached-1]
		}
		mo.DataCentres = append(mo.DataCentres, mp)
	}
	slices.SortFunc(mo.DataCentres, func(pa, pb operator.MoveProgress) int {
		return cmp.Compare(pa.DataCentre, pb.DataCentre)
	})
	return mo
}

func (co *Commander) status(*http.Request) (any, error) {
	return co.Node.Status(co.Now()), nil
}

func (co *Commander) mesh(*http.Request) (any, error) {
	return co.Node.Mesh(co.Now()), nil
}

func (co *Commander) convergence(req *http.Request) (any, error) {
	re := co.Node.State().Revision()
	if text := req.FormValue("revision"); text != "" {
		value, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, answerer.New(answerer.BadRequest,
				fmt.Sprintf("revision %q is not a number", text))
		}
		re = checker.Revision(value)
	}
	return co.Node.Convergence(re, co.Now()), nil
}

func (co *Commander) dataCentre(req *http.Request) (any, error) {
	var ch operator.DataCentreChange
	if err := decode(req, &ch); err != nil {
		return nil, err
	}
	dc := checker.DataCentre(req.PathValue("name"))
	if !co.knowsDataCentre(dc) {
		return nil, answerer.New(answerer.NotFound,
			fmt.Sprintf("data centre %q is not known to this node", dc))
	}
	mk := co.Node.State().NextMark(dc, ch.Out)
	logged := co.Node.MergeFacts(req.Context(), []reducer.Fact{{Mark: &mk}})
	co.Log.WithFields(logrus.Fields{
		"dataCentre": dc, "out": ch.Out, "epoch": mk.Epoch, "logged": logged,
	}).Info("data centre changed")
	return operator.DataCentreResponse{
		DataCentre: dc, Out: ch.Out, Epoch: mk.Epoch, Logged: logged,
	}, nil
}

// knowsDataCentre reports whether the node has members in the data centre.
func (co *Commander) knowsDataCentre(dc checker.DataCentre) bool {
	for _, md := range co.Node.Mesh(co.Now()).DataCentres {
		if md.Name == dc {
			return true
		}
	}
	return false
}

func (co *Commander) drain(*http.Request) (any, error) {
	co.Log.Info("operator requested a drain")
	co.Node.Drain()
	return struct{}{}, nil
}

func (co *Commander) metrics(*http.Request) (any, error) {
	return co.Metrics, nil
}
