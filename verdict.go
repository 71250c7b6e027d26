package hawthornrail

import (
	"errors"
	"fmt"
	"time"
)

// Verdict reports whether a request may have run at an endpoint.
type Verdict int

// The verdicts, in ascending order of what may have happened.
const (
	// VerdictNotRun means that the request provably did not run.
	VerdictNotRun Verdict = iota + 1
	// VerdictMayHaveRun means that it is unknown whether the request took effect.
	VerdictMayHaveRun
	// VerdictRan means that the request ran.
	VerdictRan
)

// String returns the verdict's name in headers and error bodies.
func (v Verdict) String() string {
	switch v {
	case VerdictNotRun:
		return "not_run"
	case VerdictMayHaveRun:
		return "may_have_run"
	case VerdictRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Code identifies the reason of a failure; callers may compare it.
type Code string

// The codes that a caller can receive.
const (
	CodeBadRequest         Code = "bad_request"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeHeadTooLarge       Code = "head_too_large"
	CodeRequestTimeout     Code = "request_timeout"
	CodeUnauthorized       Code = "unauthorized"
	CodeKeyRevoked         Code = "key_withdrawn"
	CodeForbidden          Code = "forbidden"
	CodeUnknownModel       Code = "unknown_model"
	CodeUnknownService     Code = "unknown_service"
	CodeUnknownProgram     Code = "unknown_program"
	CodeProgramEnded       Code = "program_ended"
	CodeCallOrder          Code = "call_out_of_order"
	CodeCallConflict       Code = "call_conflict"
	CodeBudget             Code = "budget_exhausted"
	CodeRate               Code = "rate_limited"
	CodeOverload           Code = "overloaded"
	CodeNoEndpoint         Code = "no_endpoint"
	CodeQuarantined        Code = "quarantined"
	CodeStreamUnknown      Code = "stream_unknown"
	CodeUnknownTurn        Code = "unknown_turn"
	CodeTurnUncertain      Code = "turn_uncertain"
	CodeEndpointFailed     Code = "endpoint_failed"
	CodeResponseTruncated  Code = "answer_cut"
	CodeHomeUnreachable    Code = "home_unreachable"
	CodeReplicaUnreachable Code = "replica_unreachable"
	CodeMoved              Code = "program_moved"
	CodeClaimUnreachable   Code = "claim_unreachable"
	CodeDraining           Code = "leaving"
	CodeConfigStale        Code = "config_stale"
	CodeUnknownRoute       Code = "unknown_route"
	CodeDeadline           Code = "deadline_passed"
	CodeAccountUnreachable Code = "account_unreachable"
	CodeHelperRefused      Code = "helper_refused"
	CodeInternal           Code = "internal"
)

// Failure is the error that ends a request: its code, its verdict and, if the
// caller may retry, the delay before the retry.
type Failure struct {
	code       Code
	verdict    Verdict
	retryAfter time.Duration
	err        error
}

// NewFailure returns a failure with a code and a verdict that wraps err.
func NewFailure(code Code, verdict Verdict, err error) *Failure {
	return &Failure{code: code, verdict: verdict, err: err}
}

// NotRun returns a failure of a request that provably did not run.
func NotRun(code Code, format string, args ...any) *Failure {
	return NewFailure(code, VerdictNotRun, fmt.Errorf(format, args...))
}

// WithRetryAfter returns a copy with the delay after which the caller may retry.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.retryAfter = d
	return &c
}

// Code returns the reason of the failure.
func (f *Failure) Code() Code { return f.code }

// Verdict returns the verdict on whether the request may have run.
func (f *Failure) Verdict() Verdict { return f.verdict }

// RetryAfter returns the delay before a retry, or zero if none is set.
func (f *Failure) RetryAfter() time.Duration { return f.retryAfter }

// Error returns the code and the underlying message.
func (f *Failure) Error() string {
	if f.err == nil {
		return string(f.code)
	}
	return string(f.code) + ": " + f.err.Error()
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.err }

// Message returns the underlying message without the code.
func (f *Failure) Message() string {
	if f.err == nil {
		return string(f.code)
	}
	return f.err.Error()
}

// AsFailure returns the Failure that err wraps; any other error is treated as an
// internal failure of a request that may have run.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return NewFailure(CodeInternal, VerdictMayHaveRun, err)
}

// VerdictOf returns the verdict of a request that ended with err.
func VerdictOf(err error) Verdict {
	if err == nil {
		return VerdictRan
	}
	return AsFailure(err).Verdict()
}
