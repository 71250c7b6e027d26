package fleet

import (
	"context"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// serveSingle runs a request outside a program as a program of one call.
func (f *Forwarder) serveSingle(ctx context.Context, r *hawthornrail.Request, w hawthornrail.AnswerWriter) error {
	d := r.Deployment()
	created, err := f.local.Create(ctx, d.Team(), d.Name(), d.Budget())
	if err != nil {
		return err
	}
	id := created.String()
	keyed := r.IdempotencyKey() != "" && !r.Idempotent()
	if keyed {
		if id, err = f.claim(ctx, r, created); err != nil {
			return err
		}
	}
	r.SetProgram(id, 1)
	r.SetEndsProgram(true)
	if id == created.String() {
		return f.local.Serve(ctx, r, w)
	}
	return repeated(f.Serve(ctx, r, w))
}

// claim returns the program that runs the request's idempotency key.
func (f *Forwarder) claim(ctx context.Context, r *hawthornrail.Request, created hawthornrail.ProgramID) (string, error) {
	id, err := f.claims.Claim(ctx, r.Team(), r.IdempotencyKey(), created.String())
	if err != nil {
		// The program stays, because the claim may still take effect; then a
		// repeat runs in it. An earlier request may have run under the key.
		err = fmt.Errorf("come back with the same key, or call from a program: %w", err)
		failure := hawthornrail.NewFailure(hawthornrail.CodeClaimUnreached, hawthornrail.VerdictMayHaveRun, err)
		return "", failure.WithRetryAfter(unreachableRetryAfter)
	}
	if id != created.String() {
		// An unused program that can't be ended now ends with its wall time.
		_ = f.local.End(ctx, created, "repeated request")
	}
	return id, nil
}

// repeated turns the refusal of a repeat whose record can't be read into one
// that leaves open whether the first request ran.
func repeated(err error) error {
	if err == nil {
		return nil
	}
	failure := hawthornrail.AsFailure(err)
	switch failure.Code() {
	case hawthornrail.CodeHomeUnreachable, hawthornrail.CodeUnknownProgram, hawthornrail.CodeMoved:
		err = fmt.Errorf("record of the first request: %w", failure.Unwrap())
		return hawthornrail.NewFailure(failure.Code(), hawthornrail.VerdictMayHaveRun, err).WithRetryAfter(failure.RetryAfter())
	default:
		return err
	}
}
