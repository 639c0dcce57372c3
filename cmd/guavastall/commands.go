package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// outputJSON is the value of --output for programs.
const outputJSON = "json"

// remote holds the settings of every command that talks to a node.
type remote struct {
	Node    netip.AddrPort `arg:"--node,env:GUAVASTALL_NODE" default:"127.0.0.1:7003" help:"operator address of any node"`
	Token   string         `arg:"--token,env:GUAVASTALL_TOKEN" help:"operator token"`
	Timeout time.Duration  `arg:"--timeout,env:GUAVASTALL_TIMEOUT" default:"10s" help:"bound on one request"`
	Output  string         `arg:"--output,env:GUAVASTALL_OUTPUT" default:"text" help:"text, or json for programs"`
}

func (rm *remote) client() (*operator.Client, error) {
	if rm.Output != "text" && rm.Output != outputJSON {
		return nil, answerer.New(answerer.BadRequest,
			fmt.Sprintf("--output %q: write text or json", rm.Output))
	}
	if rm.Timeout <= 0 {
		return nil, answerer.New(answerer.BadRequest,
			fmt.Sprintf("--timeout %v: write a duration above zero", rm.Timeout))
	}
	return operator.New(rm.Node, rm.Token, rm.Timeout), nil
}

// print writes an answer as JSON, or by the given function as text.
func (rm *remote) print(stdout io.Writer, answer any, text func(io.Writer)) error {
	if rm.Output != outputJSON {
		text(stdout)
		return nil
	}
	enc := json.NewEncoder(stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(answer)
}

// report writes an error and returns the exit code for it.
func report(err error, stderr io.Writer) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "guavastall:", err)
	var oe *operator.Error
	switch {
	case errors.Is(err, operator.ErrNotEverywhere):
		return exitNotEverywhere
	case errors.Is(err, operator.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &oe):
		ki, _ := answerer.ParseKind(oe.Kind)
		return ki.Answer().ExitCode
	}
	return answerer.KindOf(err).Answer().ExitCode
}

// readDocument reads and checks a document from a file.
func readDocument(path string) (*checker.Document, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, answerer.Wrap(err, answerer.BadRequest, "read the document")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, checker.MaxDocumentBytes+1))
	if err != nil {
		return nil, answerer.Wrap(err, answerer.BadRequest, "read the document")
	}
	doc, err := checker.Decode(data)
	var faults checker.Faults
	if errors.As(err, &faults) {
		return nil, answerer.Wrap(faults, answerer.InvalidDocument,
			fmt.Sprintf("%s has %d faults:\n", path, len(faults)))
	}
	return doc, answerer.Wrap(err, answerer.InvalidDocument, path)
}

type checkCmd struct {
	File string `arg:"positional,required" help:"document in JSON"`
}

func (cc *checkCmd) run(_ context.Context, stdout, _ io.Writer) error {
	doc, err := readDocument(cc.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s is valid: %d profiles, %d services\n",
		cc.File, len(doc.Profiles), len(doc.Services))
	return err
}

// change holds the settings of the commands that change the configuration.
type change struct {
	remote
	Base *checker.Revision `arg:"--base" help:"revision the change builds on [default: the one in force]"`
	ID   string            `arg:"--id" help:"publication ID; repeat it to resend safely"`
	Wait time.Duration     `arg:"--wait" help:"wait until it is in force everywhere, at most this long"`
}

type publishCmd struct {
	change
	File string `arg:"positional,required" help:"document in JSON"`
}

func (pc *publishCmd) run(ctx context.Context, stdout, stderr io.Writer) error {
	cl, err := pc.client()
	if err != nil {
		return err
	}
	doc, err := readDocument(pc.File)
	if err != nil {
		return err
	}
	base, err := baseRevision(ctx, cl, pc.Base)
	if err != nil {
		return err
	}
	pb := operator.Publication{ID: orNewID(pc.ID), Base: base, Document: doc}
	ac, err := cl.Publish(ctx, pb)
	if err != nil {
		return withResendAdvice(err, stderr, pb.ID, base)
	}
	return pc.finish(ctx, cl, ac, pc.Wait, stdout)
}

// orNewID returns the ID, or a new one if it is empty.
func orNewID(id string) string {
	if id != "" {
		return id
	}
	return uuid.NewString()
}

// baseRevision returns the revision given, or the one in force at the node.
func baseRevision(
	ctx context.Context, cl *operator.Client, given *checker.Revision,
) (checker.Revision, error) {
	if given != nil {
		return *given, nil
	}
	conf, err := cl.Configuration(ctx)
	return conf.Revision, err
}

// withResendAdvice says how to repeat a request whose outcome is not known.
func withResendAdvice(err error, stderr io.Writer, id string, base checker.Revision) error {
	var oe *operator.Error
	known := errors.As(err, &oe) && oe.Kind != answerer.PlatformUnavailable.String() &&
		oe.Kind != answerer.Internal.String()
	if !known {
		_, _ = fmt.Fprintf(stderr, "the outcome is not known; "+
			"repeat the command with --id %s --base %d, which is safe\n", id, base)
	}
	return err
}

// finish prints the accepted revision and waits for it if asked to.
func (rm *remote) finish(
	ctx context.Context, cl *operator.Client, ac operator.Accepted,
	wait time.Duration, stdout io.Writer,
) error {
	if wait <= 0 {
		return rm.print(stdout, ac, func(wr io.Writer) { writeAccepted(wr, ac) })
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	co, err := cl.Wait(ctx, ac.Revision)
	answer := struct {
		operator.Accepted
		Convergence operator.Convergence `json:"convergence"`
	}{ac, co}
	perr := rm.print(stdout, answer, func(wr io.Writer) {
		writeAccepted(wr, ac)
		writeConvergence(wr, co, time.Since(start))
	})
	return errors.Join(err, perr)
}

type chooseCmd struct {
	change
	Service  checker.Service `arg:"positional,required" help:"service that chooses"`
	Profile  string          `arg:"--profile" help:"profile to follow"`
	Version  checker.Version `arg:"--target-version" help:"target version to move to"`
	Deadline string          `arg:"--by" help:"time or duration by which the move must be done"`
}

func (cc *chooseCmd) run(ctx context.Context, stdout, stderr io.Writer) error {
	cl, err := cc.client()
	if err != nil {
		return err
	}
	deadline, err := parseDeadline(cc.Deadline, time.Now())
	if err != nil {
		return err
	}
	base, err := baseRevision(ctx, cl, cc.Base)
	if err != nil {
		return err
	}
	ch := operator.Choice{
		ID: orNewID(cc.ID), Base: base, Service: cc.Service,
		Profile: cc.Profile, Version: cc.Version, Deadline: deadline,
	}
	ac, err := cl.Choose(ctx, ch)
	if err != nil {
		return withResendAdvice(err, stderr, ch.ID, base)
	}
	return cc.finish(ctx, cl, ac, cc.Wait, stdout)
}

// parseDeadline reads a time in RFC 3339 or a duration from now.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if span, spanErr := time.ParseDuration(text); spanErr == nil {
		deadline, err = now.Add(span), nil
	}
	if err != nil {
		return time.Time{}, answerer.New(answerer.BadRequest,
			fmt.Sprintf("--by %q: write a duration such as 30m or a time such as %s",
				text, now.UTC().Format(time.RFC3339)))
	}
	if !deadline.After(now) {
		return time.Time{}, answerer.New(answerer.BadRequest,
			fmt.Sprintf("--by %q lies in the past", text))
	}
	return deadline, nil
}

type movesCmd struct {
	remote
}

func (mc *movesCmd) run(ctx context.Context, stdout, _ io.Writer) error {
	cl, err := mc.client()
	if err != nil {
		return err
	}
	list, err := cl.Moves(ctx)
	if err != nil {
		return err
	}
	return mc.print(stdout, list, func(wr io.Writer) { writeMoves(wr, list) })
}

type statusCmd struct {
	remote
	Mesh bool `arg:"--mesh" help:"show the whole mesh as the node sees it"`
}

func (sc *statusCmd) run(ctx context.Context, stdout, _ io.Writer) error {
	cl, err := sc.client()
	if err != nil {
		return err
	}
	if !sc.Mesh {
		st, err := cl.Status(ctx)
		if err != nil {
			return err
		}
		return sc.print(stdout, st, func(wr io.Writer) { writeStatus(wr, st) })
	}
	me, err := cl.Mesh(ctx)
	if err != nil {
		return err
	}
	co, err := cl.Convergence(ctx, me.Revision)
	if err != nil {
		return err
	}
	answer := struct {
		operator.Mesh
		Convergence operator.Convergence `json:"convergence"`
	}{me, co}
	return sc.print(stdout, answer, func(wr io.Writer) { writeMesh(wr, me, co) })
}

type dataCentreCmd struct {
	remote
	Change string             `arg:"positional,required" help:"out or in"`
	Name   checker.DataCentre `arg:"positional,required" help:"data centre"`
}

func (dc *dataCentreCmd) run(ctx context.Context, stdout, _ io.Writer) error {
	cl, err := dc.client()
	if err != nil {
		return err
	}
	if dc.Change != "out" && dc.Change != "in" {
		return answerer.New(answerer.BadRequest,
			fmt.Sprintf("datacentre %q: write out or in", dc.Change))
	}
	an, err := cl.SetDataCentre(ctx, dc.Name, dc.Change == "out")
	if err != nil {
		return err
	}
	return dc.print(stdout, an, func(wr io.Writer) { writeDataCentre(wr, an) })
}

type drainCmd struct {
	remote
}

func (dc *drainCmd) run(ctx context.Context, stdout, _ io.Writer) error {
	cl, err := dc.client()
	if err != nil {
		return err
	}
	if err := cl.Drain(ctx); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "node %s refuses new work and stops when its calls are done\n",
		dc.Node)
	return err
}
