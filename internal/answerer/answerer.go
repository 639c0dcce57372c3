// Package answerer holds the closed list of error kinds and maps each kind to
// the answer a caller or operator gets.
package answerer

import (
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Kind is one of the closed list of error kinds.
type Kind uint8

// The error kinds.
const (
	// Internal is a fault of the node itself; the zero value.
	Internal Kind = iota
	// BadRequest is a call or command that is malformed.
	BadRequest
	// TooLarge is a body or header over its limit.
	TooLarge
	// UnknownService is a call for a service the configuration lacks.
	UnknownService
	// NoRoute is a call that matches no route of its service.
	NoRoute
	// NoTarget is a call whose service has no usable target in reach.
	NoTarget
	// Overloaded is a call refused by the limit of its target.
	Overloaded
	// Draining is a call refused because the node is leaving.
	Draining
	// DataCentreOut is a call refused because operators took the data centre out.
	DataCentreOut
	// DeadlineExceeded is a call whose time ran out.
	DeadlineExceeded
	// OutcomeUnknown is a call that may or may not have run.
	OutcomeUnknown
	// DuplicateKey is a resend whose first attempt is known but its answer is not.
	DuplicateKey
	// Cancelled is a call whose caller left.
	Cancelled
	// NotReady is a node that holds no configuration yet.
	NotReady
	// Unauthorised is an operator call without the token.
	Unauthorised
	// InvalidDocument is a configuration that fails its checks.
	InvalidDocument
	// StaleRevision is a publication built on an older revision.
	StaleRevision
	// PlatformUnavailable is a command that needs the platform's log while it is away.
	PlatformUnavailable
	// NotFound is a command that names something unknown.
	NotFound
	kindCount
)

// Answer is what a kind means to the one who asked.
type Answer struct {
	// Name is the kind's name in answers and logs.
	Name string
	// Status is the HTTP status.
	Status int
	// NotRun says that the target has seen no byte of the call.
	NotRun bool
	// ExitCode is the exit code of the operator's command.
	ExitCode int
}

var answers = [kindCount]Answer{
	Internal:            {"internal", http.StatusInternalServerError, false, 1},
	BadRequest:          {"badRequest", http.StatusBadRequest, true, 2},
	TooLarge:            {"tooLarge", http.StatusRequestEntityTooLarge, false, 2},
	UnknownService:      {"unknownService", http.StatusNotFound, true, 2},
	NoRoute:             {"noRoute", http.StatusNotFound, true, 2},
	NoTarget:            {"noTarget", http.StatusServiceUnavailable, true, 3},
	Overloaded:          {"overloaded", http.StatusServiceUnavailable, true, 3},
	Draining:            {"draining", http.StatusServiceUnavailable, true, 3},
	DataCentreOut:       {"dataCentreOut", http.StatusServiceUnavailable, true, 3},
	DeadlineExceeded:    {"deadlineExceeded", http.StatusGatewayTimeout, false, 3},
	OutcomeUnknown:      {"outcomeUnknown", http.StatusBadGateway, false, 3},
	DuplicateKey:        {"duplicateKey", http.StatusConflict, false, 3},
	Cancelled:           {"cancelled", 499, false, 3},
	NotReady:            {"notReady", http.StatusServiceUnavailable, true, 3},
	Unauthorised:        {"unauthorised", http.StatusUnauthorized, true, 4},
	InvalidDocument:     {"invalidDocument", http.StatusUnprocessableEntity, true, 2},
	StaleRevision:       {"staleRevision", http.StatusConflict, true, 5},
	PlatformUnavailable: {"platformUnavailable", http.StatusServiceUnavailable, false, 6},
	NotFound:            {"notFound", http.StatusNotFound, true, 2},
}

// Answer returns the answer of the kind; an unknown kind answers as Internal.
func (ki Kind) Answer() Answer {
	if ki >= kindCount {
		return answers[Internal]
	}
	return answers[ki]
}

// String returns the kind's name.
func (ki Kind) String() string {
	return ki.Answer().Name
}

// ParseKind returns the kind with the given name, and whether there is one.
func ParseKind(name string) (Kind, bool) {
	for ki, an := range answers {
		if an.Name == name {
			return Kind(ki), true
		}
	}
	return Internal, false
}

type kindKey struct{}

// New returns an error of the kind with the given message.
func New(ki Kind, message string) error {
	return merry.New(message, merry.WithValue(kindKey{}, ki), merry.NoCaptureStack())
}

// Wrap adds the kind and the operation to an error. It returns nil for nil.
func Wrap(err error, ki Kind, operation string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.PrependMessage(operation),
		merry.WithValue(kindKey{}, ki), merry.NoCaptureStack())
}

// KindOf returns the kind of an error made by New or Wrap, else Internal.
func KindOf(err error) Kind {
	for ; err != nil; err = errors.Unwrap(err) {
		if ki, ok := merry.Value(err, kindKey{}).(Kind); ok {
			return ki
		}
	}
	return Internal
}
