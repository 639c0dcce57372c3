// Package answerer defines the error kinds and maps each kind to the response
// that a caller or operator receives.
package answerer

import (
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an error. The set of kinds is fixed.
type Kind uint8

// The error kinds.
const (
	// Internal is an error in the node itself. It is the zero value.
	Internal Kind = iota
	// BadRequest is a malformed call or command.
	BadRequest
	// TooLarge is a body or header that exceeds its limit.
	TooLarge
	// UnknownService is a call for a service that is not in the configuration.
	UnknownService
	// NoRoute is a call that matches no route of its service.
	NoRoute
	// NoTarget is a call whose service has no usable target.
	NoTarget
	// Overloaded is a call rejected by the concurrency limit of its target.
	Overloaded
	// Draining is a call rejected because the node is shutting down.
	Draining
	// DataCentreOut is a call rejected because operators took the data centre
	// out of service.
	DataCentreOut
	// DeadlineExceeded is a call whose deadline passed.
	DeadlineExceeded
	// OutcomeUnknown is a call that may or may not have been executed.
	OutcomeUnknown
	// DuplicateKey is a resend of a call that was executed but whose response
	// is not available.
	DuplicateKey
	// Cancelled is a call whose caller disconnected.
	Cancelled
	// NotReady is a node that has not received a configuration yet.
	NotReady
	// Unauthorised is an operator request without a valid token.
	Unauthorised
	// InvalidDocument is a configuration that fails validation.
	InvalidDocument
	// StaleRevision is a publication based on an older revision.
	StaleRevision
	// PlatformUnavailable is a command or call that needs the platform's log
	// while the log is unreachable.
	PlatformUnavailable
	// NotFound is a command that names an object that does not exist.
	NotFound
	kindCount
)

// Answer describes how a kind is reported to a caller or operator.
type Answer struct {
	// Name is the kind's name in responses and logs.
	Name string
	// Status is the HTTP status.
	Status int
	// NotRun reports whether the kind guarantees that no byte of the call
	// reached the target.
	NotRun bool
	// ExitCode is the exit code of the operator command.
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

// Answer returns the answer for the kind. An undefined kind is treated as
// Internal.
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

// ParseKind returns the kind with the given name and whether it exists.
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

// Wrap returns err with the kind and with the operation prepended to its
// message. It returns nil if err is nil.
func Wrap(err error, ki Kind, operation string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.PrependMessage(operation),
		merry.WithValue(kindKey{}, ki), merry.NoCaptureStack())
}

// KindOf returns the kind of an error created by New or Wrap, or Internal for
// any other error.
func KindOf(err error) Kind {
	for ; err != nil; err = errors.Unwrap(err) {
		if ki, ok := merry.Value(err, kindKey{}).(Kind); ok {
			return ki
		}
	}
	return Internal
}
