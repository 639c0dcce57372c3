package checker

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits on the contents of a document.
const (
	// MaxDocumentBytes is the size limit of a document in bytes.
	MaxDocumentBytes = 1 << 19
	maxNameLength    = 64
	maxServices      = 1000
	maxRoutes        = 100
	maxTimeout       = 10 * time.Minute
	maxStepTime      = 24 * time.Hour
	maxConcurrency   = 100_000
	maxBodyBytes     = 1 << 32
)

// OnceMemory and OnceLog are the values of Route.Once that enable detection of resends.
const (
	OnceMemory = "memory"
	OnceLog    = "log"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// Fault is a validation error of one field of a document.
type Fault struct {
	// Field is the path of the field, such as "profiles.steady.limits.queueTime".
	Field string `json:"field"`
	// Problem describes the error and the accepted values.
	Problem string `json:"problem"`
}

// Faults is a list of faults. A non-empty list is an error.
type Faults []Fault

// Error returns all faults, one per line.
func (fa Faults) Error() string {
	lines := make([]string, 0, len(fa))
	for _, ft := range fa {
		lines = append(lines, ft.Field+": "+ft.Problem)
	}
	return strings.Join(lines, "\n")
}

// Decode parses a document from JSON and validates it. The error states the line if
// the document does not parse, and is of type [Faults] if validation fails.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, fmt.Errorf("document has %d bytes; the limit is %d",
			len(data), MaxDocumentBytes)
	}
	if err := rejectDuplicateNames(data); err != nil {
		return nil, err
	}
	var doc Document
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return nil, addLineNumber(data, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		err := errors.New("text after the end of the document")
		return nil, addLineNumber(data, dec.InputOffset(), err)
	}
	if faults := Check(&doc); len(faults) > 0 {
		return nil, faults
	}
	return &doc, nil
}

// addLineNumber prefixes an error with the line in which it occurred. For errors of
// encoding/json it uses their offset and shortens their text.
func addLineNumber(data []byte, offset int64, err error) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
		err = fmt.Errorf("field %q wants a %s and got a %s",
			typeErr.Field, typeErr.Type, typeErr.Value)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		offset = int64(len(data))
		err = errors.New("the document ends too early")
	}
	offset = min(max(offset, 0), int64(len(data)))
	line := 1 + bytes.Count(data[:offset], []byte("\n"))
	return fmt.Errorf("line %d: %w", line, err)
}

// rejectDuplicateNames returns an error if an object has two equal names;
// encoding/json silently keeps the last.
func rejectDuplicateNames(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	var stack []map[string]bool
	var isKey []bool
	for {
		tok, err := dec.Token()
		if err != nil {
			return nil //nolint:nilerr // Decode reports syntax errors
		}
		depth := len(stack) - 1
		if name, ok := tok.(string); ok && depth >= 0 && stack[depth] != nil && isKey[depth] {
			if stack[depth][name] {
				err := fmt.Errorf("the name %q stands twice", name)
				return addLineNumber(data, dec.InputOffset(), err)
			}
			stack[depth][name] = true
			isKey[depth] = false
			continue
		}
		switch tok {
		case json.Delim('{'):
			stack, isKey = append(stack, map[string]bool{}), append(isKey, true)
			continue
		case json.Delim('['):
			stack, isKey = append(stack, nil), append(isKey, false)
			continue
		case json.Delim('}'), json.Delim(']'):
			stack, isKey = stack[:depth], isKey[:depth]
			depth--
		}
		if depth >= 0 && stack[depth] != nil {
			isKey[depth] = true
		}
	}
}

// Check validates a document and returns its faults, sorted by field.
func Check(doc *Document) Faults {
	var ch check
	if len(doc.Services) > maxServices {
		ch.add("services", "has %d entries; the limit is %d", len(doc.Services), maxServices)
	}
	for name, pr := range doc.Profiles {
		field := "profiles." + name
		ch.name(field, name)
		ch.profile(field, pr)
	}
	for name, co := range doc.Services {
		field := "services." + string(name)
		ch.name(field, string(name))
		ch.choice(field, co, doc.Profiles)
	}
	slices.SortFunc(ch.faults, func(fa, fb Fault) int {
		return strings.Compare(fa.Field, fb.Field)
	})
	return ch.faults
}

// check collects the faults of a document.
type check struct {
	faults Faults
}

func (ch *check) add(field, format string, args ...any) {
	ch.faults = append(ch.faults, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (ch *check) name(field, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		ch.add(field, "name %q: use 1 to %d letters, digits, '.', '_' or '-', "+
			"with a letter or digit at both ends", name, maxNameLength)
	}
}

func (ch *check) share(field string, share float64) {
	if !(share >= 0 && share <= 1) {
		ch.add(field, "%v is not a share from 0 to 1", share)
	}
}

func (ch *check) duration(field string, du Duration, low, high time.Duration) {
	if value := time.Duration(du); value < low || value > high {
		ch.add(field, "%v is not between %v and %v", value, low, high)
	}
}

func (ch *check) count(field string, value, low, high int64) {
	if value < low || value > high {
		ch.add(field, "%d is not between %d and %d", value, low, high)
	}
}

func (ch *check) profile(field string, pr Profile) {
	ch.share(field+".routing.localShare", pr.Routing.LocalShare)
	ch.share(field+".routing.healthyFloor", pr.Routing.HealthyFloor)
	ch.rollout(field+".rollout", pr.Rollout)
	ch.count(field+".limits.initialConcurrency",
		int64(pr.Limits.InitialConcurrency), 1, maxConcurrency)
	ch.count(field+".limits.maxConcurrency", int64(pr.Limits.MaxConcurrency), 0, maxConcurrency)
	ch.duration(field+".limits.warmTime", pr.Limits.WarmTime, 0, maxStepTime)
	ch.duration(field+".limits.queueTime", pr.Limits.QueueTime, 0, maxTimeout)
	ch.count(field+".limits.maxBodyBytes", pr.Limits.MaxBodyBytes, 1, maxBodyBytes)
	ch.share(field+".retries.budgetRatio", pr.Retries.BudgetRatio)
	ch.count(field+".retries.maxAttempts", int64(pr.Retries.MaxAttempts), 1, 10)
	ch.duration(field+".dataCentres.returnTime", pr.DataCentres.ReturnTime, 0, maxStepTime)
}

func (ch *check) rollout(field string, ro Rollout) {
	if len(ro.Steps) == 0 || ro.Steps[len(ro.Steps)-1] != 1 {
		ch.add(field+".steps", "must end in 1, for example [0.005, 0.05, 0.25, 1]")
	}
	previous := 0.0
	for nn, step := range ro.Steps {
		if !(step > previous && step <= 1) {
			ch.add(fmt.Sprintf("%s.steps[%d]", field, nn),
				"%v must be above the step before it and at most 1", step)
		}
		previous = step
	}
	ch.duration(field+".stepTime", ro.StepTime, time.Millisecond, maxStepTime)
	ch.count(field+".minCalls", int64(ro.MinCalls), 1, 1_000_000)
	ch.share(field+".maxErrorIncrease", ro.MaxErrorIncrease)
	if !(ro.MaxLatencyFactor >= 1 && ro.MaxLatencyFactor <= 100) {
		ch.add(field+".maxLatencyFactor", "%v is not between 1 and 100", ro.MaxLatencyFactor)
	}
	ch.duration(field+".quietAfter", ro.QuietAfter, time.Millisecond, maxStepTime)
}

func (ch *check) choice(field string, co Choice, profiles map[string]Profile) {
	if _, ok := profiles[co.Profile]; !ok {
		ch.add(field+".profile", "profile %q does not exist in this document", co.Profile)
	}
	ch.name(field+".version", string(co.Version))
	if len(co.Routes) == 0 || len(co.Routes) > maxRoutes {
		ch.add(field+".routes", "has %d routes; write 1 to %d", len(co.Routes), maxRoutes)
	}
	seen := map[string]bool{}
	for nn, ro := range co.Routes {
		routeField := fmt.Sprintf("%s.routes[%d]", field, nn)
		if seen[ro.Name] {
			ch.add(routeField+".name", "the name %q stands twice in this service", ro.Name)
		}
		seen[ro.Name] = true
		ch.route(routeField, ro)
	}
}

func (ch *check) route(field string, ro Route) {
	ch.name(field+".name", ro.Name)
	if !strings.HasPrefix(ro.PathPrefix, "/") {
		ch.add(field+".pathPrefix", "%q does not begin with \"/\"", ro.PathPrefix)
	}
	for _, method := range ro.Methods {
		if method == "" || strings.ToUpper(method) != method {
			ch.add(field+".methods", "%q is not a method in capital letters", method)
		}
	}
	ch.duration(field+".timeout", ro.Timeout, time.Millisecond, maxTimeout)
	if ro.Once != "" && ro.Once != OnceMemory && ro.Once != OnceLog {
		ch.add(field+".once", "%q is not \"\", %q or %q", ro.Once, OnceMemory, OnceLog)
	}
	if ro.Once != "" && ro.Idempotent {
		ch.add(field+".once",
			"an idempotent route needs no protection against resends; leave it out")
	}
	for _, version := range ro.Versions {
		ch.name(field+".versions", string(version))
	}
}
