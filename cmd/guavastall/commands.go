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

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// clientFlags holds the flags of the commands that send requests to a node.
type clientFlags struct {
	Node    netip.AddrPort `arg:"--node,env:GUAVASTALL_NODE" default:"127.0.0.1:7003" help:"operator address of a node; any node of the mesh will do"`
	Token   string         `arg:"--token,env:GUAVASTALL_TOKEN" help:"operator token"`
	Timeout time.Duration  `arg:"--timeout,env:GUAVASTALL_TIMEOUT" default:"10s" help:"timeout of each request"`
	Output  string         `arg:"--output,env:GUAVASTALL_OUTPUT" default:"text" help:"output format: text or json"`
}

func (cf *clientFlags) client() (*operator.Client, error) {
	if cf.Output != "text" && cf.Output != outputJSON {
		return nil, answerer.New(answerer.BadRequest,
			fmt.Sprintf("--output %q: write text or json", cf.Output))
	}
	if cf.Timeout <= 0 {
		return nil, answerer.New(answerer.BadRequest,
			fmt.Sprintf("--timeout %v: must be greater than zero", cf.Timeout))
	}
	return operator.New(cf.Node, cf.Token, cf.Timeout), nil
}

// print writes the answer as JSON or, if the output format is text, with the
// given function.
func (cf *clientFlags) print(stdout io.Writer, answer any, text func(io.Writer)) error {
	if cf.Output != outputJSON {
		text(stdout)
		return nil
	}
	enc := json.NewEncoder(stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(answer)
}

// printError writes the error, if any, and returns the exit code.
func printError(err error, stderr io.Writer) int {
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

// readDocument reads a document from a file and validates it.
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

// changeFlags holds the flags of the commands that change the configuration.
type changeFlags struct {
	clientFlags
	Base *checker.Revision `arg:"--base" help:"revision that the change is based on [default: the one in force]"`
	ID   string            `arg:"--id" help:"publication ID; reuse it to repeat a command safely"`
	Wait time.Duration     `arg:"--wait" help:"maximum wait until the change is in force everywhere"`
}

type publishCmd struct {
	changeFlags
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
		return printResendAdvice(err, stderr, pb.ID, base)
	}
	return pc.printAccepted(ctx, cl, ac, pc.Wait, stdout)
}

// orNewID returns the ID or, if it is empty, a new one.
func orNewID(id string) string {
	if id != "" {
		return id
	}
	return uuid.NewString()
}

// baseRevision returns the given revision or, if it is nil, the one in force at
// the node.
func baseRevision(
	ctx context.Context, cl *operator.Client, given *checker.Revision,
) (checker.Revision, error) {
	if given != nil {
		return *given, nil
	}
	conf, err := cl.Configuration(ctx)
	return conf.Revision, err
}

// printResendAdvice prints how to repeat the command safely if the error leaves
// the outcome of the request unknown. It returns the error.
func printResendAdvice(err error, stderr io.Writer, id string, base checker.Revision) error {
	var oe *operator.Error
	known := errors.As(err, &oe) && oe.Kind != answerer.PlatformUnavailable.String() &&
		oe.Kind != answerer.Internal.String()
	if !known {
		_, _ = fmt.Fprintf(stderr, "the outcome is unknown; "+
			"it is safe to repeat the command with --id %s --base %d\n", id, base)
	}
	return err
}

// printAccepted prints the accepted revision. If wait is positive, it first waits
// at most that long until the revision is in force everywhere.
func (cf *clientFlags) printAccepted(
	ctx context.Context, cl *operator.Client, ac operator.Accepted,
	wait time.Duration, stdout io.Writer,
) error {
	if wait <= 0 {
		return cf.print(stdout, ac, func(wr io.Writer) { writeAccepted(wr, ac) })
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	co, err := cl.Wait(ctx, ac.Revision)
	answer := struct {
		operator.Accepted
		Convergence operator.Convergence `json:"convergence"`
	}{ac, co}
	perr := cf.print(stdout, answer, func(wr io.Writer) {
		writeAccepted(wr, ac)
		writeConvergence(wr, co, time.Since(start))
	})
	return errors.Join(err, perr)
}

type chooseCmd struct {
	changeFlags
	Service  checker.Service `arg:"positional,required" help:"service to change"`
	Profile  string          `arg:"--profile" help:"profile to use"`
	Version  checker.Version `arg:"--target-version" help:"target version to move to"`
	Deadline string          `arg:"--by" help:"time by which, or duration within which, the move must be done"`
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
		return printResendAdvice(err, stderr, ch.ID, base)
	}
	return cc.printAccepted(ctx, cl, ac, cc.Wait, stdout)
}

// parseDeadline parses a time in RFC 3339 format or a duration from now.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if duration, durationErr := time.ParseDuration(text); durationErr == nil {
		deadline, err = now.Add(duration), nil
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
	clientFlags
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
	clientFlags
	Mesh bool `arg:"--mesh" help:"show all data centres and members that the node knows"`
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
	clientFlags
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
	clientFlags
}

func (dc *drainCmd) run(ctx context.Context, stdout, _ io.Writer) error {
	cl, err := dc.client()
	if err != nil {
		return err
	}
	if err := cl.Drain(ctx); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout,
		"node %s rejects new calls and stops when its calls in flight have finished\n", dc.Node)
	return err
}
