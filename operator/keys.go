package operator

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/fleet"
)

func (s *Server) listKeys(r *http.Request) (reply KeysReply, err error) {
	_, config, err := s.latest(r.Context())
	if err != nil {
		return reply, err
	}
	for _, key := range config.Keys {
		reply.Keys = append(reply.Keys, KeyEntry{Owner: key.Owner, Name: key.Name, Workspace: key.Workspace})
	}
	return reply, nil
}

// issueKey makes a new key. Its secret is only in the reply, and the store holds
// the hash. A name in use is refused, because a node's scheduler looks up the keys
// of its queued requests by name to find withdrawn ones.
func (s *Server) issueKey(ctx context.Context, request KeyRequest) (reply KeyReply, err error) {
	if request.Name == "" {
		request.Name = "key-" + rand.Text()
	}
	secret := "gg-" + rand.Text() + rand.Text()
	comment := "issue key " + request.Owner + "/" + request.Name
	applied, err := s.edit(ctx, request.Author, comment, func(config *fleet.Config) (next *fleet.Config, err error) {
		if slices.ContainsFunc(config.Keys, request.matches) {
			return nil, errors.WithType(errors.Errorf("key %s/%s exists; choose another name", request.Owner, request.Name), errors.BadRequest)
		}
		config.Keys = append(config.Keys, fleet.Key{
			Meta:      fleet.Meta{Owner: request.Owner, Name: request.Name},
			Workspace: request.Workspace, SHA256: fleet.HashKey(secret),
		})
		return config, nil
	})
	return KeyReply{Revision: applied.Revision, Secret: secret}, err
}

func (s *Server) withdrawKey(ctx context.Context, request KeyRequest) (reply ApplyReply, err error) {
	comment := "withdraw key " + request.Owner + "/" + request.Name
	return s.edit(ctx, request.Author, comment, func(config *fleet.Config) (next *fleet.Config, err error) {
		i := slices.IndexFunc(config.Keys, request.matches)
		if i < 0 {
			return nil, errors.WithType(errors.Errorf("there is no key %s/%s", request.Owner, request.Name), errors.NotFound)
		}
		config.Keys = slices.Delete(config.Keys, i, i+1)
		return config, nil
	})
}

// matches reports whether key has the owner and name of the request.
func (r *KeyRequest) matches(key fleet.Key) bool { return key.Owner == r.Owner && key.Name == r.Name }
