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
	// ConfigReply holds the newest accepted configuration.
	ConfigReply struct {
		Revision uint64
		Text     string // TOML
	}

	// ApplyRequest replaces the configuration. Base is the revision that Text
	// was derived from; 0 means the one that is newest when the request is
	// handled. The request is refused if there is a newer revision than Base.
	ApplyRequest struct {
		File    string // file name to show in problems
		Text    string
		Base    uint64
		Author  string
		Comment string
		DryRun  bool
		// Keys also replaces the keys. Without it, the current keys are kept.
		Keys bool
	}

	// ApplyReply describes a change. Revision is the new revision or, after a dry
	// run, the revision that the change would be based on.
	ApplyReply struct {
		Revision uint64
		Changes  []string
	}

	// RollbackRequest makes a new revision with the objects of an older one.
	// The current keys are kept, so that no withdrawn key is restored.
	RollbackRequest struct {
		To     uint64
		Author string
	}

	// LabelRequest sets a label of an object, or removes it when Value is empty.
	LabelRequest struct {
		Kind   string
		Owner  string
		Name   string
		Key    string
		Value  string
		Author string
	}

	// KeyRequest issues a key for a workspace, or withdraws the key with a name.
	// If Name is empty, the issued key gets a random name.
	KeyRequest struct {
		Owner     string
		Name      string
		Workspace string // only to issue a key
		Author    string
	}

	// KeyReply holds the secret of an issued key. Only its hash is stored.
	KeyReply struct {
		Revision uint64
		Secret   string
	}

	// KeyEntry describes one key.
	KeyEntry struct {
		Owner     string
		Name      string
		Workspace string
	}

	// KeysReply lists all keys.
	KeysReply struct{ Keys []KeyEntry }

	// HistoryEntry describes one revision.
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

	// InForceReply lists the names of live nodes. Those in Have have the revision
	// or a newer one, those in Behind an older one, and those in Unreached didn't
	// respond. Nodes in Rejected refused the revision or a newer one and are in
	// Behind too.
	InForceReply struct {
		Have      []string
		Behind    []string
		Unreached []string
		Rejected  []string
		// Removed nodes were live within the last hours and no longer respond. If
		// one of them is only cut off, it refuses requests with an API key until
		// it has the newest revision.
		Removed []string
	}

	// ErrorReply is the body of every response with a status other than 200 to a
	// call that needs the credential.
	// Problems are the faults of a refused configuration. After a conflict,
	// Current is the newest revision and Changes are those since Base.
	ErrorReply struct {
		Error    string
		Problems []string `json:",omitempty"`
		Current  uint64   `json:",omitempty"`
		Changes  []string `json:",omitempty"`
	}
)
