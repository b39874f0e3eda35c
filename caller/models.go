package caller

import (
	"encoding/json"
	"net/http"

	"github.com/guavagauge/guavagauge/upstream"
)

type (
	// listing is a request for the list of models that the workspace may use.
	listing struct{}

	modelList struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}

	modelEntry struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
)

func (s *Server) parseModels(*exchange) (w work, refused *Refusal) {
	return &listing{}, nil
}

func (s *Server) writeModels(ex *exchange) (refused *Refusal) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range ex.snapshot.Models(ex.workspace) {
		list.Data = append(list.Data, modelEntry{ID: model.Name, Object: "model", OwnedBy: model.Owner})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return notRun(upstream.ReasonBadRequest, err.Error())
	}
	writeJSON(ex, http.StatusOK, body)
	return nil
}

func writeJSON(ex *exchange, status int, body []byte) {
	ex.responseStarted = true
	ex.writer.Header().Set("Content-Type", "application/json")
	ex.writer.WriteHeader(status)
	ex.writer.Write(append(body, '\n')) // the caller may have disconnected
}
