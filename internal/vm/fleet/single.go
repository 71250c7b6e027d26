package fleet

import (
	"context"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// serveSingle runs a request outside a program as a program of one call.
func (f *Forwarder) serveSingle(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter) error {
	d := r.Deployment()
	created, err := f.local.Create(ctx, d.Team(), d.Name(), d.Budget())
	if err != nil {
		return err
	}
	id := created.String()
	needsClaim := r.IdempotencyKey() != "" && !r.Idempotent()
	if needsClaim {
		if id, err = f.claim(ctx, r, created); err != nil {
			return err
		}
	}
	r.SetProgram(id, 1)
	r.SetEndsProgram(true)
	if id == created.String() {
		return f.local.Serve(ctx, r, w)
	}
	return repeatFailure(f.Serve(ctx, r, w))
}

// claim returns the program that owns the request's idempotency key.
func (f *Forwarder) claim(ctx context.Context, r *hawthornrail.Request, created hawthornrail.ProgramID) (string, error) {
	id, err := f.claims.Claim(ctx, r.Team(), r.IdempotencyKey(), created.String())
	if err != nil {
		// The program is kept because the claim may still take effect, and then
		// a repeated request runs in it. An earlier request may have run under
		// the key.
		err = fmt.Errorf("come back with the same key, or call from a program: %w", err)
		failure := hawthornrail.NewFailure(hawthornrail.CodeClaimUnreachable, hawthornrail.VerdictMayHaveRun, err)
		return "", failure.WithRetryAfter(unreachableRetryAfter)
	}
	if id != created.String() {
		// If ending the unused program fails, it expires with its wall time.
		_ = f.local.End(ctx, created, "repeated request")
	}
	return id, nil
}

// repeatFailure changes the verdict to "may have run" if the record of the
// first request can't be read, since that request may have run.
func repeatFailure(err error) error {
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
