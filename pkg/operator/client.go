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
	// maxResponseBytes limits how much of a response body is read. The response for a
	// mesh of 750 members has about 150 KB.
	maxResponseBytes = 16 << 20
	// pollInterval is the time between two requests for the convergence.
	pollInterval = 200 * time.Millisecond
)

// ErrNotEverywhere reports that the wait ended before a revision was in force
// everywhere. The publication remains valid.
var ErrNotEverywhere = errors.New("not yet in force everywhere")

// ErrUnreachable reports that the node did not respond. The request may or may not
// have taken effect.
var ErrUnreachable = errors.New("node did not respond")

// Client calls the operator interface of one node. It is safe for concurrent use.
type Client struct {
	node  netip.AddrPort
	token string
	http  *http.Client
}

// New returns a client of the node at the address. The timeout limits each request.
// The token may be empty for a node that serves operators on loopback only.
func New(node netip.AddrPort, token string, timeout time.Duration) *Client {
	return &Client{node: node, token: token, http: &http.Client{Timeout: timeout}}
}

// Configuration returns the configuration in force at the node.
func (cl *Client) Configuration(ctx context.Context) (Configuration, error) {
	var conf Configuration
	err := cl.do(ctx, http.MethodGet, PathConfiguration, nil, &conf)
	return conf, err
}

// Check validates a document at the node without publishing it.
func (cl *Client) Check(ctx context.Context, doc *checker.Document) error {
	return cl.do(ctx, http.MethodPost, PathCheck, doc, nil)
}

// Publish publishes a document. Repeating it with the same ID has no further effect.
func (cl *Client) Publish(ctx context.Context, pb Publication) (Accepted, error) {
	var ac Accepted
	err := cl.do(ctx, http.MethodPost, PathPublish, pb, &ac)
	return ac, err
}

// Choose changes the profile, version or deadline of a service. Repeating it with the
// same ID has no further effect.
func (cl *Client) Choose(ctx context.Context, ch Choice) (Accepted, error) {
	var ac Accepted
	err := cl.do(ctx, http.MethodPost, PathChoose, ch, &ac)
	return ac, err
}

// Moves returns the moves known to the node, oldest first.
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

// Convergence reports where the revision is in force.
func (cl *Client) Convergence(ctx context.Context, re checker.Revision) (Convergence, error) {
	var co Convergence
	path := PathConvergence + "?revision=" + strconv.FormatUint(uint64(re), 10)
	err := cl.do(ctx, http.MethodGet, path, nil, &co)
	return co, err
}

// Wait waits until the revision is in force everywhere. If the context ends first, it
// returns the last known convergence and [ErrNotEverywhere].
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

// SetDataCentre takes a data centre out of service or returns it to service.
func (cl *Client) SetDataCentre(
	ctx context.Context, dc checker.DataCentre, out bool,
) (DataCentreResponse, error) {
	var rs DataCentreResponse
	path := PathDataCentres + url.PathEscape(string(dc))
	err := cl.do(ctx, http.MethodPost, path, DataCentreChange{Out: out}, &rs)
	return rs, err
}

// Drain makes the node reject new calls, complete those in flight and stop.
func (cl *Client) Drain(ctx context.Context) error {
	return cl.do(ctx, http.MethodPost, PathDrain, struct{}{}, nil)
}

// do sends one request with in as its JSON body, unless in is nil, and decodes the
// response into out, unless out is nil.
func (cl *Client) do(ctx context.Context, method, path string, in, out any) error {
	req, err := cl.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: read response of node %s: %w", ErrUnreachable, cl.node, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode response of node %s: %w", cl.node, err)
	}
	return nil
}

func (cl *Client) newRequest(
	ctx context.Context, method, path string, in any,
) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("encode request for %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+cl.node.String()+path, body)
	if err != nil {
		return nil, fmt.Errorf("create request for %s: %w", path, err)
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
