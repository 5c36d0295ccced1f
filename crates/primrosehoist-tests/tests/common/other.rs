//! Settings of a daemon without the users' platform.

use std::fs;
use std::path::PathBuf;

use super::platform::Deployment;

impl Deployment {
    /// Writes the settings of a daemon at the address that ends with `last`, whose platform does not run;
    /// returns their path and its address for callers.
    pub fn other_daemon(&self, last: u8) -> (PathBuf, String) {
        let address = |port: u16| format!("{}.{last}:{port}", self.network);
        let secret = self.directory.join("secret");
        fs::write(&secret, "sixteen bytes or more").expect("the file is written");
        let settings = self.directory.join("other.toml");
        let text = format!(
            "host = \"a1\"\nzone = \"zone-a\"\nsecret_file = \"{}\"\n[listen]\ncaller = \"{}\"\n\
             peer = \"{}\"\nadmin = \"{}\"\n[platform]\naddress = \"{}\"\n",
            secret.display(),
            address(7100),
            address(7200),
            address(7300),
            address(7000),
        );
        fs::write(&settings, text).expect("the file is written");
        (settings, address(7100))
    }
}
