package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// maxAnswerBytes bounds an answer; a mesh of 750 members has about 150 KB.
	maxAnswerBytes = 16 << 20
	// pollInterval is the time between two looks at the convergence.
	pollInterval = 200 * time.Millisecond
)

// ErrNotEverywhere reports that the wait ended before a revision was in force
// everywhere. The publication itself stands.
var ErrNotEverywhere = errors.New("not yet in force everywhere")

// ErrUnreachable reports that the node gave no answer. What was asked of it may
// or may not have happened.
var ErrUnreachable = errors.New("node gave no answer")

// Client talks to the operator interface of one node. It is safe for
// concurrent use.
type Client struct {
	node  netip.AddrPort
	token string
	http  *http.Client
}

// New returns a client of the node at the address. The token may be empty for
// a node that serves operators on loopback only.
func New(node netip.AddrPort, token string, timeout time.Duration) *Client {
	return &Client{node: node, token: token, http: &http.Client{Timeout: timeout}}
}

// Configuration returns the configuration in force at the node.
func (cl *Client) Configuration(ctx context.Context) (Configuration, error) {
	var conf Configuration
	err := cl.do(ctx, http.MethodGet, PathConfiguration, nil, &conf)
	return conf, err
}

// Check asks the node to check a document without publishing it.
func (cl *Client) Check(ctx context.Context, doc *checker.Document) error {
	return cl.do(ctx, http.MethodPost, PathCheck, doc, nil)
}

// Publish publishes a document. A repeated call with the same ID is safe.
func (cl *Client) Publish(ctx context.Context, pb Publication) (Accepted, error) {
	var ac Accepted
	err := cl.do(ctx, http.MethodPost, PathPublish, pb, &ac)
	return ac, err
}

// Choose changes the choice of a service. A repeated call with the same ID is safe.
func (cl *Client) Choose(ctx context.Context, ch Choice) (Accepted, error) {
	var ac Accepted
	err := cl.do(ctx, http.MethodPost, PathChoose, ch, &ac)
	return ac, err
}

// Moves returns the moves the node knows, the oldest first.
func (cl *Client) Moves(ctx context.Context) ([]Move, error) {
	var list []Move
	err := cl.do(ctx, http.MethodGet, PathMoves, nil, &list)
	return list, err
}

// Status returns the node's status.
func (cl *Client) Status(ctx context.Context) (Status, error) {
	var st Status
	err := cl.do(ctx, http.MethodGet, PathStatus, nil, &st)
	return st, err
}

// Mesh returns the mesh as the node sees it.
func (cl *Client) Mesh(ctx context.Context) (Mesh, error) {
	var me Mesh
	err := cl.do(ctx, http.MethodGet, PathMesh, nil, &me)
	return me, err
}

// Convergence says where the revision is in force.
func (cl *Client) Convergence(ctx context.Context, re checker.Revision) (Convergence, error) {
	var co Convergence
	path := PathConvergence + "?revision=" + strconv.FormatUint(uint64(re), 10)
	err := cl.do(ctx, http.MethodGet, path, nil, &co)
	return co, err
}

// Wait waits until the revision is in force everywhere. When the context ends
// first it returns the last convergence and [ErrNotEverywhere].
func (cl *Client) Wait(ctx context.Context, re checker.Revision) (Convergence, error) {
	var last Convergence
	for {
		co, err := cl.Convergence(ctx, re)
		if err == nil {
			last = co
		}
		if last.Everywhere {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, ErrNotEverywhere
		case <-time.After(pollInterval):
		}
	}
}

// SetDataCentre takes a data centre out or back in.
func (cl *Client) SetDataCentre(
	ctx context.Context, dc checker.DataCentre, out bool,
) (DataCentreAnswer, error) {
	var an DataCentreAnswer
	path := PathDataCentres + url.PathEscape(string(dc))
	err := cl.do(ctx, http.MethodPost, path, DataCentreChange{Out: out}, &an)
	return an, err
}

// Drain makes the node refuse new work, finish what it has and stop.
func (cl *Client) Drain(ctx context.Context) error {
	return cl.do(ctx, http.MethodPost, PathDrain, struct{}{}, nil)
}

// do sends one request and reads its answer.
func (cl *Client) do(ctx context.Context, method, path string, give, want any) error {
	req, err := cl.request(ctx, method, path, give)
	if err != nil {
		return err
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: read the answer of node %s: %w", ErrUnreachable, cl.node, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(resp.StatusCode, body)
	}
	if want == nil {
		return nil
	}
	if err := json.Unmarshal(body, want); err != nil {
		return fmt.Errorf("read the answer of node %s: %w", cl.node, err)
	}
	return nil
}

func (cl *Client) request(
	ctx context.Context, method, path string, give any,
) (*http.Request, error) {
	var body io.Reader
	if give != nil {
		data, err := json.Marshal(give)
		if err != nil {
			return nil, fmt.Errorf("encode the request for %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+cl.node.String()+path, body)
	if err != nil {
		return nil, fmt.Errorf("make the request for %s: %w", path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if cl.token != "" {
		req.Header.Set("Authorization", "Bearer "+cl.token)
	}
	return req, nil
}

func decodeError(status int, body []byte) error {
	var er Error
	if err := json.Unmarshal(body, &er); err != nil || er.Kind == "" {
		return &Error{Kind: "internal", Message: fmt.Sprintf("status %d: %.200s", status, body)}
	}
	return &er
}
