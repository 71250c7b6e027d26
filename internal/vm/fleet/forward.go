package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/home"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	unreachableRetryAfter = 300 * time.Millisecond
	maxHolderAttempts     = 3
)

// Forwarder serves each request at the home of its program; it implements
// hawthornrail.Handler.
type Forwarder struct {
	router *Router
	client *peer.Client
	local  *home.Home
	claims hawthornrail.Claims
	secret []byte
}

// NewForwarder returns a forwarder that serves programs held here with local.
func NewForwarder(router *Router, client *peer.Client, local *home.Home, claims hawthornrail.Claims, secret []byte) *Forwarder {
	return &Forwarder{router: router, client: client, local: local, claims: claims, secret: secret}
}

// Serve runs the request here if this VM holds its program and forwards it to
// the holder otherwise; a request without a program becomes a program of one
// call.
func (f *Forwarder) Serve(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter) error {
	if r.Program() == "" {
		return f.serveSingle(ctx, r, w)
	}
	id, err := hawthornrail.ParseProgramID(r.Program())
	if err != nil {
		return hawthornrail.NewFailure(hawthornrail.CodeBadRequest, hawthornrail.VerdictNotRun, err)
	}
	return f.router.withHolder(ctx, id, func(address string) error {
		if address == "" {
			return f.local.Serve(ctx, r, w)
		}
		return f.forward(ctx, address, r, w)
	})
}

func homeUnreachable(err error) error {
	f := hawthornrail.NewFailure(hawthornrail.CodeHomeUnreachable, hawthornrail.VerdictNotRun, err)
	return f.WithRetryAfter(unreachableRetryAfter)
}

func (f *Forwarder) forward(ctx context.Context, address string, r *hawthornrail.Request, w hawthornrail.ResponseWriter) error {
	open := &vmpb.Open{Kind: &vmpb.Open_Call{Call: convert.CallToWire(r)}}
	exchange, err := f.client.Open(ctx, address, open)
	if errors.Is(err, peer.ErrUnsent) {
		return homeUnreachable(err)
	}
	if err != nil {
		return truncatedResponse(err)
	}
	defer exchange.Close()
	return copyResponse(exchange, w)
}

func copyResponse(exchange *peer.Exchange, w hawthornrail.ResponseWriter) error {
	for {
		var reply vmpb.CallReply
		if err := exchange.Receive(&reply); err != nil {
			return truncatedResponse(err)
		}
		switch k := reply.GetKind().(type) {
		case *vmpb.CallReply_Head:
			if err := w.Head(int(k.Head.GetStatus()), k.Head.GetContentType()); err != nil {
				return truncatedResponse(err)
			}
		case *vmpb.CallReply_Chunk:
			if err := w.Chunk(k.Chunk.GetData()); err != nil {
				return truncatedResponse(err)
			}
		case *vmpb.CallReply_End:
			return convert.EndFromWire(k.End)
		default:
			return truncatedResponse(errors.New("unknown reply"))
		}
	}
}

func truncatedResponse(err error) error {
	return hawthornrail.NewFailure(hawthornrail.CodeResponseTruncated, hawthornrail.VerdictMayHaveRun, fmt.Errorf("home of the program: %w", err))
}

// Create starts a program here, or a sub-agent at the home of its parent; it
// implements hawthornrail.Programs with End.
func (f *Forwarder) Create(ctx context.Context, d hawthornrail.Deployment, parent string, budget *hawthornrail.Budget) (string, error) {
	if parent != "" {
		return f.createChild(ctx, d, parent, budget)
	}
	granted := d.Budget()
	if budget != nil {
		granted = *budget
	}
	if !granted.Within(d.Budget()) {
		return "", hawthornrail.NotRun(hawthornrail.CodeBudget, "the budget asked for is larger than the deployment's")
	}
	id, err := f.local.Create(ctx, d.Team(), d.Name(), granted)
	return id.String(), err
}

func (f *Forwarder) createChild(ctx context.Context, d hawthornrail.Deployment, parent string, budget *hawthornrail.Budget) (string, error) {
	id, err := f.parseOwned(d.Team(), parent)
	if err != nil {
		return "", err
	}
	if budget == nil {
		return "", hawthornrail.NotRun(hawthornrail.CodeBadRequest, "a sub-agent needs a budget")
	}
	var created string
	err = f.router.withHolder(ctx, id, func(address string) error {
		if address == "" {
			child, err := f.local.CreateChild(ctx, id, *budget)
			created = child.String()
			return err
		}
		created, err = f.requestProgram(ctx, address, &vmpb.Open{Kind: &vmpb.Open_CreateProgram{CreateProgram: &vmpb.CreateProgram{
			Team: d.Team(), ParentId: parent, Budget: convert.BudgetToWire(*budget),
		}}})
		return err
	})
	return created, err
}

// End ends a program at its home.
func (f *Forwarder) End(ctx context.Context, team, program, reason string) error {
	id, err := f.parseOwned(team, program)
	if err != nil {
		return err
	}
	return f.router.withHolder(ctx, id, func(address string) error {
		if address == "" {
			return f.local.End(ctx, id, reason)
		}
		_, err := f.requestProgram(ctx, address, &vmpb.Open{Kind: &vmpb.Open_EndProgram{EndProgram: &vmpb.EndProgram{
			Team: team, ProgramId: program, Reason: reason,
		}}})
		return err
	})
}

func (f *Forwarder) parseOwned(team, program string) (hawthornrail.ProgramID, error) {
	return ownedProgram(program, team, f.secret)
}

func (f *Forwarder) requestProgram(ctx context.Context, address string, open *vmpb.Open) (string, error) {
	var reply vmpb.ProgramReply
	_, err := f.client.Invoke(ctx, address, open, &reply)
	if errors.Is(err, peer.ErrUnsent) {
		return "", homeUnreachable(err)
	}
	if err != nil {
		return "", truncatedResponse(err)
	}
	if reply.GetFailure() != nil {
		return "", convert.EndFromWire(reply.GetFailure())
	}
	return reply.GetProgramId(), nil
}
