package local

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/document"
	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Apply publishes the first revision of a service's document, as rwctl apply
// does, and waits until it is in force on every running instance.
func (c *Cluster) Apply(ctx context.Context, text []byte, author string) error {
	doc, problems := document.Parse(text)
	if len(problems) > 0 {
		return problems.Coded()
	}
	data, err := proto.Marshal(applyEnvelope(doc, text, author))
	if err != nil {
		return errors.Wrap(err, "encode the document")
	}
	log := c.Platform.Log.For("local")
	if err := log.Append(ctx, platform.ConfigStream, [][]byte{data}); err != nil {
		return errors.Wrap(err, "publish the document")
	}
	for !c.inForce(doc) {
		select {
		case <-ctx.Done():
			return code.New(code.ConfigNotInForce, "%s/%s", doc.Team, doc.Service)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func applyEnvelope(doc *document.Document, text []byte, author string) *recordv1.Envelope {
	apply := &recordv1.Apply{
		ApplyId:  uuid.NewString(),
		Team:     doc.Team,
		Service:  doc.Service,
		Document: text,
		Author:   author,
		Reason:   "first document",
	}
	return &recordv1.Envelope{
		Instance:    "local-" + apply.GetApplyId(),
		Incarnation: 1,
		Sequence:    1,
		UnixMs:      time.Now().UnixMilli(),
		Actor:       author,
		Why:         apply.GetReason(),
		Body: &recordv1.Envelope_Config{Config: &recordv1.ConfigRecord{
			Kind: &recordv1.ConfigRecord_Apply{Apply: apply},
		}},
	}
}

func (c *Cluster) inForce(doc *document.Document) bool {
	for _, instance := range c.Instances() {
		if !instance.Running() {
			continue
		}
		if _, err := instance.Services.Service(doc.TeamID(), doc.ServiceID()); err != nil {
			return false
		}
	}
	return true
}
