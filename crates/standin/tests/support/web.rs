//! HTTP client of the tests.

use std::net::SocketAddr;

use ureq::Agent;

/// Status, `X-Consul-Index` and body of an answer.
pub(crate) type Answer = (u16, Option<u64>, String);

/// Client of one HTTP stand-in.
#[derive(Clone)]
pub(crate) struct Web {
    agent: Agent,
    address: SocketAddr,
}

impl Web {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder().http_status_as_error(false);
        Self { agent: config.build().into(), address }
    }

    pub(crate) fn try_get(&self, path: &str) -> Result<Answer, ureq::Error> {
        self.agent.get(self.url(path)).call().map(read)
    }

    pub(crate) fn get(&self, path: &str) -> Answer {
        self.try_get(path).unwrap()
    }

    pub(crate) fn try_put(&self, path: &str, body: &[u8]) -> Result<Answer, ureq::Error> {
        self.agent.put(self.url(path)).send(body).map(read)
    }

    /// Status and body of the answer to a `PUT`.
    pub(crate) fn put(&self, path: &str, body: &str) -> (u16, String) {
        let (status, _, body) = self.try_put(path, body.as_bytes()).unwrap();
        (status, body)
    }

    /// Status and body of the answer to a `DELETE`.
    pub(crate) fn delete(&self, path: &str) -> Result<(u16, String), ureq::Error> {
        let (status, _, body) = self.agent.delete(self.url(path)).call().map(read)?;
        Ok((status, body))
    }

    pub(crate) fn set_fault(&self, query: &str) {
        assert_eq!(self.put(&format!("/standin/fault?{query}"), "").0, 200);
    }

    pub(crate) fn json(&self, path: &str) -> serde_json::Value {
        serde_json::from_str(&self.get(path).2).unwrap()
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn read(mut answer: ureq::http::Response<ureq::Body>) -> Answer {
    let index = answer.headers().get("X-Consul-Index");
    let index = index.map(|index| index.to_str().unwrap().parse().unwrap());
    let body = answer.body_mut().read_to_string().unwrap();
    (answer.status().as_u16(), index, body)
}
