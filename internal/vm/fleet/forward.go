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

const unreachableRetryAfter = time.Second

// Forwarder serves requests at the home of their program; it implements
// hawthornrail.Handler.
type Forwarder struct {
	self    hawthornrail.Instance
	members hawthornrail.Membership
	client  *peer.Client
	local   *home.Home
	claims  hawthornrail.Claims
	secret  []byte
}

// NewForwarder returns a forwarder that serves local programs itself.
func NewForwarder(self hawthornrail.Instance, members hawthornrail.Membership, client *peer.Client, local *home.Home, claims hawthornrail.Claims, secret []byte) *Forwarder {
	return &Forwarder{self: self, members: members, client: client, local: local, claims: claims, secret: secret}
}

// Serve runs the request here if its program is homed here, and asks the home
// otherwise; a request without a program becomes a program of one call.
func (f *Forwarder) Serve(ctx context.Context, r *hawthornrail.Request, w hawthornrail.AnswerWriter) error {
	if r.Program() == "" {
		return f.serveSingle(ctx, r, w)
	}
	id, err := hawthornrail.ParseProgramID(r.Program())
	if err != nil {
		return hawthornrail.NewFailure(hawthornrail.CodeBadRequest, hawthornrail.VerdictNotRun, err)
	}
	if id.Home() == f.self {
		return f.local.Serve(ctx, r, w)
	}
	return f.ask(ctx, id, r, w)
}

func (f *Forwarder) address(id hawthornrail.ProgramID) (string, error) {
	m, ok := f.members.Member(id.Home().VM())
	if !ok {
		return "", unreachable(fmt.Errorf("VM %s is not known", id.Home().VM()))
	}
	return m.Address(), nil
}

func unreachable(err error) error {
	f := hawthornrail.NewFailure(hawthornrail.CodeHomeUnreachable, hawthornrail.VerdictNotRun, err)
	return f.WithRetryAfter(unreachableRetryAfter)
}

func (f *Forwarder) ask(ctx context.Context, id hawthornrail.ProgramID, r *hawthornrail.Request, w hawthornrail.AnswerWriter) error {
	address, err := f.address(id)
	if err != nil {
		return err
	}
	open := &vmpb.Open{Kind: &vmpb.Open_Call{Call: convert.CallToWire(r)}}
	exchange, err := f.client.Open(ctx, address, open)
	if errors.Is(err, peer.ErrUnsent) {
		return unreachable(err)
	}
	if err != nil {
		return cut(err)
	}
	defer exchange.Close()
	return receive(exchange, w)
}

func receive(exchange *peer.Exchange, w hawthornrail.AnswerWriter) error {
	for {
		var reply vmpb.CallReply
		if err := exchange.Receive(&reply); err != nil {
			return cut(err)
		}
		switch k := reply.GetKind().(type) {
		case *vmpb.CallReply_Head:
			if err := w.Head(int(k.Head.GetStatus()), k.Head.GetContentType()); err != nil {
				return cut(err)
			}
		case *vmpb.CallReply_Chunk:
			if err := w.Chunk(k.Chunk.GetData()); err != nil {
				return cut(err)
			}
		case *vmpb.CallReply_End:
			return convert.EndFromWire(k.End)
		default:
			return cut(errors.New("unknown reply"))
		}
	}
}

func cut(err error) error {
	return hawthornrail.NewFailure(hawthornrail.CodeAnswerCut, hawthornrail.VerdictMayHaveRun, fmt.Errorf("home of the program: %w", err))
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
	id, err := f.owned(d.Team(), parent)
	if err != nil {
		return "", err
	}
	if budget == nil {
		return "", hawthornrail.NotRun(hawthornrail.CodeBadRequest, "a sub-agent needs a budget")
	}
	if id.Home() == f.self {
		child, err := f.local.CreateChild(ctx, id, *budget)
		return child.String(), err
	}
	return f.askProgram(ctx, id, &vmpb.Open{Kind: &vmpb.Open_CreateProgram{CreateProgram: &vmpb.CreateProgram{
		Team: d.Team(), ParentId: parent, Budget: convert.BudgetToWire(*budget),
	}}})
}

// End ends a program at its home.
func (f *Forwarder) End(ctx context.Context, team, program, reason string) error {
	id, err := f.owned(team, program)
	if err != nil {
		return err
	}
	if id.Home() == f.self {
		return f.local.End(ctx, id, reason)
	}
	_, err = f.askProgram(ctx, id, &vmpb.Open{Kind: &vmpb.Open_EndProgram{EndProgram: &vmpb.EndProgram{
		Team: team, ProgramId: program, Reason: reason,
	}}})
	return err
}

func (f *Forwarder) owned(team, program string) (hawthornrail.ProgramID, error) {
	return ownedProgram(program, team, f.secret)
}

func (f *Forwarder) askProgram(ctx context.Context, id hawthornrail.ProgramID, open *vmpb.Open) (string, error) {
	address, err := f.address(id)
	if err != nil {
		return "", err
	}
	var reply vmpb.ProgramReply
	_, err = f.client.Ask(ctx, address, open, &reply)
	if errors.Is(err, peer.ErrUnsent) {
		return "", unreachable(err)
	}
	if err != nil {
		return "", cut(err)
	}
	if reply.GetFailure() != nil {
		return "", convert.EndFromWire(reply.GetFailure())
	}
	return reply.GetProgramId(), nil
}
