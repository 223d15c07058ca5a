package main

import (
	"context"
	"fmt"
	"strings"

	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// room shows how the node that is asked divides what targets can do, and the limits of workspaces.
func (c *control) room(ctx context.Context) error {
	res, err := c.client.Room(ctx, request(c, &tlv1.RoomRequest{}))
	if err != nil {
		return err
	}
	return c.out.room(res.Msg)
}

// room prints one line a service, and one for each workspace that holds room, target that is slow and limit in use.
func (o *output) room(m *tlv1.RoomResponse) error {
	var rows [][]string
	add := func(of, what, state string) { rows = append(rows, []string{of, what, state}) }
	for _, s := range m.GetServices() {
		add(s.GetService(), "requests", fmt.Sprintf("%d in flight, %d waiting, %s", s.GetInFlight(), s.GetWaiting(), admitted(s)))
		add(s.GetService(), "retries", retries(s))
		for _, h := range s.GetHolders() {
			add(s.GetService(), "workspace "+h.GetWorkspace(), holder(h))
		}
		for _, t := range s.GetSlow() {
			add(s.GetService(), "target "+t.GetTarget(), fmt.Sprintf("takes %.1f times as long as the median", t.GetSlower()))
		}
	}
	for _, l := range m.GetLimits() {
		add(l.GetWorkspace(), "limit", fmt.Sprintf("%g/s over the fleet; here %d used, %d refused, %.1f left", l.GetPerSecond(), l.GetUsed(), l.GetRefused(), l.GetAvailable()))
	}
	return o.table(m, "OF\tWHAT\tSTATE", rows)
}

// admitted says which requests the service admits.
func admitted(s *tlv1.ServiceRoom) string {
	if s.GetAdmitted() >= 1 {
		return "all admitted"
	}
	return fmt.Sprintf("%.2f admitted: %.2f of priority %d, all that are more urgent", s.GetAdmitted(), s.GetFraction(), s.GetLevel())
}

// retries says what became of further attempts.
func retries(s *tlv1.ServiceRoom) string {
	text := fmt.Sprintf("%d made, %d denied", s.GetRetries(), s.GetDenied())
	var ranks []string
	for _, d := range s.GetDeniedByRank() {
		ranks = append(ranks, fmt.Sprintf("priority %d %s %d", d.GetPriority(), d.GetLoss(), d.GetCount()))
	}
	if len(ranks) == 0 {
		return text
	}
	return fmt.Sprintf("%s, %d of them for more urgent ones (%s)", text, s.GetDeniedForOrder(), strings.Join(ranks, ", "))
}

// holder says what a workspace has of the room.
func holder(h *tlv1.RoomHolder) string {
	text := fmt.Sprintf("%d in flight, %d waiting", h.GetInFlight(), h.GetWaiting())
	if h.GetShare() == 0 {
		return text
	}
	return fmt.Sprintf("%s, share %.1f", text, h.GetShare())
}
