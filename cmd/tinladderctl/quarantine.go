package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/tinladder/tinladder/clock"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// quarantine lists the requests under which targets crashed, as the node that is asked knows them.
func (c *control) quarantine(ctx context.Context) error {
	res, err := c.client.Quarantine(ctx, request(c, &tlv1.QuarantineRequest{}))
	if err != nil {
		return err
	}
	return c.out.quarantine(res.Msg)
}

func (c *control) lift(ctx context.Context, cmd *liftCmd) error {
	res, err := c.client.Lift(ctx, request(c, &tlv1.LiftRequest{Print: cmd.Print}))
	if err != nil {
		return err
	}
	if res.Msg.GetStored() {
		c.out.line("%s is sent again", cmd.Print)
		return nil
	}
	c.out.line("%s is sent again by the nodes that hear this one; the store does not answer, others follow once it does", cmd.Print)
	return nil
}

func (o *output) quarantine(m *tlv1.QuarantineResponse) error {
	var rows [][]string
	for _, q := range m.GetRequests() {
		rows = append(rows, []string{
			q.GetPrint(), q.GetKnownBy(), stateOf(q), q.GetService(), q.GetWhat(), strings.Join(q.GetTargets(), ","),
			fmt.Sprint(q.GetTrials()), since(q.GetAgeMs()), nextTrial(q),
		})
	}
	return o.table(m, "PRINT\tKNOWN BY\tSTATE\tSERVICE\tREQUEST\tCRASHED\tTRIALS\tSINCE\tNEXT TRIAL", rows)
}

func stateOf(q *tlv1.Quarantined) string {
	if q.GetHeld() {
		return "held"
	}
	return "suspected"
}

func nextTrial(q *tlv1.Quarantined) string {
	if !q.GetHeld() {
		return ""
	}
	return "in " + since(q.GetTrialMs())
}

// since shows a span of milliseconds in whole seconds.
func since(ms int64) string {
	return clock.Millis(ms).Duration().Round(time.Second).String()
}
