package convert

import (
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// StepToWire returns the message of a step of a tree whose home is an instance.
func StepToWire(home hawthornrail.Instance, epoch uint64, s hawthornrail.Step) *vmpb.Step {
	m := &vmpb.Step{
		Home: InstanceToWire(home), Epoch: epoch,
		TreeId: s.Tree().String(), Sequence: s.Sequence(),
	}
	switch c := s.Change().(type) {
	case hawthornrail.CreateTree:
		m.Change = &vmpb.Step_CreateTree{CreateTree: &vmpb.CreateTree{
			Team: c.Team(), Deployment: c.Deployment(), Budget: BudgetToWire(c.Budget()),
			CreatedUnixMs: c.Created().UnixMilli(),
		}}
	case hawthornrail.CreateChild:
		m.Change = &vmpb.Step_CreateChild{CreateChild: &vmpb.CreateChild{
			Parent: c.Parent(), Budget: BudgetToWire(c.Budget()), CreatedUnixMs: c.Created().UnixMilli(),
		}}
	case hawthornrail.Intent:
		m.Change = &vmpb.Step_Intent{Intent: &vmpb.Intent{
			Program: c.Program(), Number: c.Number(), Digest: c.Digest(), Endpoint: c.Endpoint(),
			Idempotent: c.Idempotent(), ReservedTokens: c.ReservedTokens(), Messages: c.Messages(),
		}}
	case hawthornrail.Outcome:
		m.Change = &vmpb.Step_Outcome{Outcome: &vmpb.Outcome{
			Program: c.Program(), Number: c.Number(), Verdict: vmpb.Verdict(c.Verdict()),
			Code: string(c.Code()), Status: int32(c.Status()), ContentType: c.ContentType(),
			Answer: c.Response(), Reply: c.Message(), UsedTokens: c.UsedTokens(), EndReason: c.EndReason(),
		}}
	case hawthornrail.End:
		m.Change = &vmpb.Step_End{End: &vmpb.EndChange{Program: c.Program(), Reason: c.Reason()}}
	}
	return m
}

// StepFromWire returns the step of a message.
func StepFromWire(m *vmpb.Step) (hawthornrail.Step, error) {
	tree, err := hawthornrail.ParseProgramID(m.GetTreeId())
	if err != nil {
		return hawthornrail.Step{}, fmt.Errorf("step: %w", err)
	}
	change, err := changeFromWire(m)
	if err != nil {
		return hawthornrail.Step{}, err
	}
	return hawthornrail.NewStep(tree, m.GetSequence(), change), nil
}

func changeFromWire(m *vmpb.Step) (hawthornrail.Change, error) {
	switch k := m.GetChange().(type) {
	case *vmpb.Step_CreateTree:
		c := k.CreateTree
		return hawthornrail.NewCreateTree(c.GetTeam(), c.GetDeployment(), BudgetFromWire(c.GetBudget()), time.UnixMilli(c.GetCreatedUnixMs())), nil
	case *vmpb.Step_CreateChild:
		c := k.CreateChild
		return hawthornrail.NewCreateChild(c.GetParent(), BudgetFromWire(c.GetBudget()), time.UnixMilli(c.GetCreatedUnixMs())), nil
	case *vmpb.Step_Intent:
		c := k.Intent
		i := hawthornrail.NewIntent(c.GetProgram(), c.GetNumber(), c.GetDigest(), c.GetEndpoint(), c.GetIdempotent(), c.GetReservedTokens())
		return i.WithMessages(c.GetMessages()), nil
	case *vmpb.Step_Outcome:
		return outcomeFromWire(k.Outcome), nil
	case *vmpb.Step_End:
		return hawthornrail.NewEnd(k.End.GetProgram(), k.End.GetReason()), nil
	default:
		return nil, fmt.Errorf("step %d of tree %s: no change", m.GetSequence(), m.GetTreeId())
	}
}

func outcomeFromWire(m *vmpb.Outcome) hawthornrail.Outcome {
	verdict := hawthornrail.Verdict(m.GetVerdict())
	o := hawthornrail.NewOutcome(m.GetProgram(), m.GetNumber(), verdict, hawthornrail.Code(m.GetCode()))
	if verdict == hawthornrail.VerdictRan {
		o = hawthornrail.NewResponseOutcome(m.GetProgram(), m.GetNumber(), int(m.GetStatus()), m.GetContentType(), m.GetAnswer())
	}
	return o.WithMessage(m.GetReply()).WithUsedTokens(m.GetUsedTokens()).WithEnd(m.GetEndReason())
}
