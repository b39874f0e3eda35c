package operator

import "time"

// Paths of the operator API.
const (
	PathConfig   = "/v1/config"
	PathHistory  = "/v1/history"
	PathRollback = "/v1/rollback"
	PathLabel    = "/v1/label"
	PathKeys     = "/v1/keys"
	PathInForce  = "/v1/in-force"
)

type (
	// ConfigReply is the newest accepted configuration.
	ConfigReply struct {
		Revision uint64
		Text     string // TOML
	}

	// ApplyRequest replaces the configuration. Base is the revision that Text
	// was derived from; 0 means the newest.
	ApplyRequest struct {
		File    string // in messages
		Text    string
		Base    uint64
		Author  string
		Comment string
		DryRun  bool
		// Keys replaces the keys as well. Without it they stay as they are.
		Keys bool
	}

	// ApplyReply describes a change. Revision is the one that holds it, or that
	// it would be based on after a dry run.
	ApplyReply struct {
		Revision uint64
		Changes  []string
	}

	// RollbackRequest makes a new revision with the objects of an older one.
	// Keys stay as they are, so that no withdrawn key comes back.
	RollbackRequest struct {
		To     uint64
		Author string
	}

	// LabelRequest sets a label, or removes it when Value is empty.
	LabelRequest struct {
		Kind   string
		Owner  string
		Name   string
		Key    string
		Value  string
		Author string
	}

	// KeyRequest issues a key for a workspace, or withdraws one by its name.
	KeyRequest struct {
		Owner     string
		Name      string
		Workspace string // to issue
		Author    string
	}

	// KeyReply holds the secret of an issued key, which is stored nowhere.
	KeyReply struct {
		Revision uint64
		Secret   string
	}

	// KeyEntry is one key.
	KeyEntry struct {
		Owner     string
		Name      string
		Workspace string
	}

	// KeysReply lists all keys.
	KeysReply struct{ Keys []KeyEntry }

	// HistoryEntry is one revision.
	HistoryEntry struct {
		Revision uint64
		Time     time.Time
		Author   string
		Comment  string
		Changed  []string
		Deleted  []string
	}

	// HistoryReply lists revisions, the newest first.
	HistoryReply struct{ Revisions []HistoryEntry }

	// InForceReply tells which live nodes have a revision or a newer one.
	InForceReply struct {
		Have      []string
		Behind    []string
		Unreached []string
		Rejected  []string
		// Removed nodes were live within the last hours and don't answer. If one
		// of them is only cut off, it refuses keyed work until it has the newest
		// revision.
		Removed []string
	}

	// ErrorReply is the body of every answer that isn't a success. Problems are
	// faults of a configuration. Changes are what came between Base and Current
	// in a conflict.
	ErrorReply struct {
		Error    string
		Problems []string `json:",omitempty"`
		Current  uint64   `json:",omitempty"`
		Changes  []string `json:",omitempty"`
	}
)
